//! An error with the path of the file or folder that it concerns.

use std::error::Error;
use std::fmt;
use std::path::{Path, PathBuf};

/// An error that concerns a file or folder. Its message consists of the path and the message of the error.
#[derive(Debug)]
pub struct PathError<E> {
    /// The file or folder.
    pub path: PathBuf,
    /// What went wrong with it.
    pub error: E,
}

impl<E> PathError<E> {
    /// Adds the path to an error; for `map_err`.
    pub fn at(path: &Path) -> impl FnOnce(E) -> PathError<E> + '_ {
        |error| PathError { path: path.to_owned(), error }
    }
}

impl<E: fmt::Display> fmt::Display for PathError<E> {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{}: {}", self.path.display(), self.error)
    }
}

impl<E: Error> Error for PathError<E> {}
