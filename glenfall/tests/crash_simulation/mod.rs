//! Records the system calls by which a process changes the files of a folder, and derives the states in which a power
//! loss may leave the folder. A file keeps everything that was written before its last sync; each later write is present,
//! missing or torn. The folder keeps all name changes before its last sync; each later one is present or missing.

use std::collections::{BTreeMap, HashMap};
use std::io::{BufRead, BufReader, Write};
use std::os::unix::fs::FileExt;
use std::path::Path;
use std::process::{Command, Stdio};

use nix::sys::ptrace::{self, Options};
use nix::sys::signal::Signal;
use nix::sys::wait::{waitpid, WaitPidFlag, WaitStatus};
use nix::unistd::{gettid, Pid};

/// A recorded event. Files are numbered, and keep their number when they are renamed.
#[derive(Clone, Debug)]
pub enum Event {
    Create {
        name: String,
        file: usize,
    },
    Rename {
        from: String,
        to: String,
        file: usize,
    },
    Remove {
        name: String,
        file: usize,
    },
    Write {
        file: usize,
        offset: usize,
        bytes: Vec<u8>,
    },
    Resize {
        file: usize,
        length: usize,
    },
    Sync {
        file: usize,
    },
    SyncFolder,
    /// A message that the process sent by `report_progress`.
    Progress(String),
}

/// Start of the lines on standard output that report progress to the recorder.
const PROGRESS_PREFIX: &str = "progress ";

/// In the recorded process: adds a progress event to the recording.
pub fn report_progress(message: &str) {
    let mut out = std::io::stdout();
    out.write_all(format!("{PROGRESS_PREFIX}{message}\n").as_bytes()).and_then(|()| out.flush()).unwrap();
}

/// In the recorded process: sends the id of this thread to the recorder, and waits until the thread is traced.
pub fn wait_for_recorder() {
    println!("\nthread {}", gettid());
    let mut line = String::new();
    std::io::stdin().read_line(&mut line).unwrap();
}

/// File contents by file name.
pub type Files = BTreeMap<String, Vec<u8>>;

/// Contents of all files of a folder; empty if the folder does not exist.
pub fn read_folder(folder: &Path) -> Files {
    let entries = std::fs::read_dir(folder).map(|all| all.flatten().collect::<Vec<_>>()).unwrap_or_default();
    let read = |entry: &std::fs::DirEntry| {
        (entry.file_name().into_string().unwrap(), std::fs::read(entry.path()).unwrap())
    };
    entries.iter().map(read).collect()
}

/// Replaces a folder by one that holds exactly these files.
pub fn write_folder(folder: &Path, files: &Files) {
    let _ = std::fs::remove_dir_all(folder);
    std::fs::create_dir_all(folder).unwrap();
    for (name, bytes) in files {
        std::fs::write(folder.join(name), bytes).unwrap();
    }
}

/// A system call between its entry and its exit.
enum PendingCall {
    Open { name: String, flags: u64 },
    Other(Option<Event>),
}

struct Recorder {
    folder: String,
    /// Memory of the traced process.
    memory: std::fs::File,
    /// File numbers by open descriptor; `None` is the folder itself.
    open_files: HashMap<u64, Option<usize>>,
    file_by_name: BTreeMap<String, usize>,
    file_count: usize,
    events: Vec<Event>,
}

// Flags of `open` on Linux.
const O_CREAT: u64 = 0o100;
const O_TRUNC: u64 = 0o1000;

impl Recorder {
    fn read_memory(&self, address: u64, length: u64) -> Vec<u8> {
        let mut bytes = vec![0; length as usize];
        self.memory.read_exact_at(&mut bytes, address).unwrap();
        bytes
    }

    /// Name of the path at this address within the folder; empty for the folder itself, `None` for paths outside.
    fn name_in_folder(&self, address: u64) -> Option<String> {
        let mut bytes = vec![0; 4096];
        let read = self.memory.read_at(&mut bytes, address).unwrap();
        let path = bytes[..read].split(|byte| *byte == 0).next().unwrap();
        let inside = std::str::from_utf8(path).ok()?.strip_prefix(&self.folder)?;
        Some(inside.trim_matches('/').to_owned())
    }

    /// What a system call is going to do to the folder, by its number and arguments.
    fn syscall_entry(&self, call_number: u64, args: [u64; 4]) -> PendingCall {
        let file = |fd: u64| self.open_files.get(&fd).copied().flatten();
        let event = match call_number {
            // open, openat
            2 | 257 => {
                let (path, flags) = if call_number == 2 { (args[0], args[1]) } else { (args[1], args[2]) };
                match self.name_in_folder(path) {
                    Some(name) => return PendingCall::Open { name, flags },
                    None => None,
                }
            }
            // write to standard output
            1 if args[0] == 1 => {
                let output = String::from_utf8_lossy(&self.read_memory(args[1], args[2])).into_owned();
                output
                    .strip_prefix(PROGRESS_PREFIX)
                    .map(|message| Event::Progress(message.trim_end().to_owned()))
            }
            // write
            1 => {
                assert!(file(args[0]).is_none(), "write at the current file position is not modelled");
                None
            }
            // pwrite64
            18 => file(args[0]).map(|file| Event::Write {
                file,
                offset: args[3] as usize,
                bytes: self.read_memory(args[1], args[2]),
            }),
            // writev, sendfile, fallocate, preadv, pwritev, pwritev2
            20 | 40 | 285 | 295 | 296 | 328 => {
                assert!(file(args[0]).is_none(), "system call {call_number} is not modelled");
                None
            }
            // ftruncate
            77 => file(args[0]).map(|file| Event::Resize { file, length: args[1] as usize }),
            // fsync, fdatasync
            74 | 75 => self
                .open_files
                .get(&args[0])
                .map(|file| file.map_or(Event::SyncFolder, |file| Event::Sync { file })),
            // rename, renameat, renameat2
            82 | 264 | 316 => {
                let (from, to) = if call_number == 82 { (args[0], args[1]) } else { (args[1], args[3]) };
                self.name_in_folder(from).zip(self.name_in_folder(to)).and_then(|(from, to)| {
                    let file = *self.file_by_name.get(&from)?;
                    Some(Event::Rename { from, to, file })
                })
            }
            // unlink, unlinkat
            87 | 263 => {
                let name = self.name_in_folder(if call_number == 87 { args[0] } else { args[1] });
                name.and_then(|name| Some(Event::Remove { file: *self.file_by_name.get(&name)?, name }))
            }
            _ => None,
        };
        PendingCall::Other(event)
    }

    /// Adds the event of a system call that has returned, unless it failed.
    fn syscall_exit(&mut self, pending: PendingCall, call_number: u64, first_arg: u64, result: u64) {
        if result as i64 >= 0 || matches!(pending, PendingCall::Other(Some(Event::Progress(_)))) {
            match pending {
                PendingCall::Open { name, .. } if name.is_empty() => {
                    self.open_files.insert(result, None);
                }
                PendingCall::Open { name, flags } => {
                    let file = if let Some(file) = self.file_by_name.get(&name) {
                        if flags & O_TRUNC != 0 {
                            self.events.push(Event::Resize { file: *file, length: 0 });
                        }
                        *file
                    } else {
                        assert!(flags & O_CREAT != 0, "{name} was opened without O_CREAT and is not known");
                        self.file_count += 1;
                        self.file_by_name.insert(name.clone(), self.file_count - 1);
                        self.events.push(Event::Create { name, file: self.file_count - 1 });
                        self.file_count - 1
                    };
                    self.open_files.insert(result, Some(file));
                }
                PendingCall::Other(Some(event)) => {
                    match &event {
                        Event::Rename { from, to, file } => {
                            self.file_by_name.remove(from);
                            self.file_by_name.insert(to.clone(), *file);
                        }
                        Event::Remove { name, .. } => {
                            self.file_by_name.remove(name);
                        }
                        _ => {}
                    }
                    self.events.push(event);
                }
                PendingCall::Other(None) => {}
            }
        }
        // close
        if call_number == 3 {
            self.open_files.remove(&first_arg);
        }
    }
}

/// Runs an ignored test of this test binary in a process of its own, and records what its thread does in the folder
/// until it reports the progress `end`. The process gets `scenario` and `folder` in the variables `SCENARIO` and
/// `FOLDER`.
pub fn record_events(test: &str, scenario: &str, folder: &Path) -> Vec<Event> {
    let mut child = Command::new(std::env::current_exe().unwrap())
        .args(["--exact", test, "--ignored", "--nocapture"])
        .env("SCENARIO", scenario)
        .env("FOLDER", folder)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let mut output = BufReader::new(child.stdout.take().unwrap());
    let thread = loop {
        let mut line = String::new();
        assert!(
            output.read_line(&mut line).unwrap() > 0,
            "the recorded process exited before it named its thread"
        );
        if let Some(thread) = line.strip_prefix("thread ") {
            break Pid::from_raw(thread.trim().parse().unwrap());
        }
    };
    ptrace::seize(thread, Options::PTRACE_O_TRACESYSGOOD).expect("tracing the child's thread");
    ptrace::interrupt(thread).unwrap();
    let names: Vec<String> = read_folder(folder).into_keys().collect();
    let mut recorder = Recorder {
        folder: folder.to_str().unwrap().to_owned(),
        memory: std::fs::File::open(format!("/proc/{thread}/mem")).unwrap(),
        open_files: HashMap::new(),
        file_count: names.len(),
        file_by_name: names.into_iter().enumerate().map(|(file, name)| (name, file)).collect(),
        events: Vec::new(),
    };
    let mut pending_call = None;
    let mut stdin = child.stdin.take();
    loop {
        let mut signal = None;
        match waitpid(thread, Some(WaitPidFlag::__WALL)).unwrap() {
            WaitStatus::PtraceSyscall(_) => {
                let regs = ptrace::getregs(thread).unwrap();
                // On entry to a system call rax reads -ENOSYS; on exit it holds the result.
                if regs.rax as i64 == -(nix::errno::Errno::ENOSYS as i64) {
                    let args = [regs.rdi, regs.rsi, regs.rdx, regs.r10];
                    pending_call =
                        Some((recorder.syscall_entry(regs.orig_rax, args), regs.orig_rax, regs.rdi));
                } else if let Some((pending, call_number, first_arg)) = pending_call.take() {
                    recorder.syscall_exit(pending, call_number, first_arg, regs.rax);
                }
                if matches!(recorder.events.last(), Some(Event::Progress(message)) if message == "end") {
                    break;
                }
            }
            // The stop that `interrupt` requested: the thread is traced, and may go on.
            WaitStatus::PtraceEvent(..) => {
                if let Some(mut input) = stdin.take() {
                    input.write_all(b"go\n").unwrap();
                }
            }
            WaitStatus::Stopped(_, cause) => signal = Some(cause).filter(|cause| *cause != Signal::SIGTRAP),
            other => panic!("the recorded process ended: {other:?}, after {:?}", recorder.events.last()),
        }
        ptrace::syscall(thread, signal).unwrap();
    }
    ptrace::detach(thread, None).unwrap();
    // Drains the remaining output, so that the process does not block on a full pipe.
    std::io::copy(&mut output, &mut std::io::sink()).unwrap();
    child.wait().unwrap();
    recorder.events
}

/// What is on disk of an unsynced write after a power loss.
#[derive(Clone, Copy, PartialEq)]
enum WriteOutcome {
    /// The whole write is on disk.
    Present,
    Missing,
    /// Only its first half is on disk.
    Torn,
    /// Only its first sixteenth is on disk: for a page, this is less than the smallest sector.
    TornEarly,
}

#[derive(Clone, Default)]
struct File {
    synced: Vec<u8>,
    /// Writes and changes of length since the last sync.
    dirty: Vec<Event>,
}

impl File {
    /// Contents after a power loss, by the outcome of each unsynced operation.
    fn contents_after(&self, outcomes: impl Fn(usize) -> WriteOutcome) -> Vec<u8> {
        let mut bytes = self.synced.clone();
        for (number, event) in self.dirty.iter().enumerate() {
            match (event, outcomes(number)) {
                (_, WriteOutcome::Missing)
                | (Event::Resize { .. }, WriteOutcome::Torn | WriteOutcome::TornEarly) => {}
                (Event::Resize { length, .. }, WriteOutcome::Present) => bytes.resize(*length, 0),
                (Event::Write { offset, bytes: new, .. }, outcome) => {
                    let new = match outcome {
                        WriteOutcome::Torn => &new[..new.len() / 2],
                        WriteOutcome::TornEarly => &new[..new.len() / 16],
                        _ => new,
                    };
                    bytes.resize(bytes.len().max(offset + new.len()), 0);
                    bytes[*offset..offset + new.len()].copy_from_slice(new);
                }
                _ => {}
            }
        }
        bytes
    }
}

/// A selection of the states in which a power loss after these events may leave the folder. Each combination of unsynced
/// name changes occurs with the same outcomes of the unsynced writes: all present, all missing, all present but one
/// missing or torn, all missing but one present or torn, and four lists of outcomes drawn at random from the seed.
pub fn crash_states(before: &Files, events: &[Event], seed: u64) -> Vec<Files> {
    let mut files: Vec<File> =
        before.values().map(|bytes| File { synced: bytes.clone(), dirty: Vec::new() }).collect();
    let mut names: BTreeMap<String, usize> = before.keys().cloned().zip(0..).collect();
    let mut unsynced_names: Vec<&Event> = Vec::new();
    for event in events {
        match event {
            Event::Create { file, .. } => {
                files.resize(files.len().max(file + 1), File::default());
                unsynced_names.push(event);
            }
            Event::Rename { .. } | Event::Remove { .. } => unsynced_names.push(event),
            Event::Write { file, .. } | Event::Resize { file, .. } => files[*file].dirty.push(event.clone()),
            Event::Sync { file } => {
                files[*file].synced = files[*file].contents_after(|_| WriteOutcome::Present);
                files[*file].dirty.clear();
            }
            Event::SyncFolder => unsynced_names.drain(..).for_each(|event| update_names(&mut names, event)),
            Event::Progress(_) => {}
        }
    }
    let writes: usize = files.iter().map(|file| file.dirty.len()).sum();
    let mut outcome_lists: Vec<Vec<WriteOutcome>> =
        vec![vec![WriteOutcome::Present; writes], vec![WriteOutcome::Missing; writes]];
    for index in 0..writes {
        for (others, this) in [
            (WriteOutcome::Present, WriteOutcome::Missing),
            (WriteOutcome::Present, WriteOutcome::Torn),
            (WriteOutcome::Missing, WriteOutcome::Present),
            (WriteOutcome::Missing, WriteOutcome::Torn),
            (WriteOutcome::Missing, WriteOutcome::TornEarly),
        ] {
            let mut outcomes = vec![others; writes];
            outcomes[index] = this;
            outcome_lists.push(outcomes);
        }
    }
    let mut random_state = seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1;
    for _ in 0..4 {
        let outcome = |_| {
            // xorshift: random enough to choose outcomes.
            random_state ^= random_state << 13;
            random_state ^= random_state >> 7;
            random_state ^= random_state << 17;
            [WriteOutcome::Present, WriteOutcome::Missing, WriteOutcome::Torn, WriteOutcome::TornEarly]
                [(random_state >> 32) as usize % 4]
        };
        outcome_lists.push((0..writes).map(outcome).collect());
    }
    assert!(
        unsynced_names.len() < 8,
        "too many name changes without a sync of the folder: {unsynced_names:?}"
    );
    let mut states = Vec::new();
    for present_changes in 0..1u32 << unsynced_names.len() {
        let mut names = names.clone();
        for (number, event) in unsynced_names.iter().enumerate() {
            if present_changes >> number & 1 == 1 {
                update_names(&mut names, event);
            }
        }
        for outcomes in &outcome_lists {
            let mut first_outcome = 0;
            let mut contents = Vec::new();
            for file in &files {
                contents.push(file.contents_after(|number| outcomes[first_outcome + number]));
                first_outcome += file.dirty.len();
            }
            states.push(names.iter().map(|(name, file)| (name.clone(), contents[*file].clone())).collect());
        }
    }
    states
}

/// Applies a creation, renaming or removal to the names of the folder.
fn update_names(names: &mut BTreeMap<String, usize>, event: &Event) {
    match event {
        Event::Create { name, file } => {
            names.insert(name.clone(), *file);
        }
        Event::Rename { from, to, file } => {
            if names.get(from) == Some(file) {
                names.remove(from);
            }
            names.insert(to.clone(), *file);
        }
        Event::Remove { name, file } if names.get(name) == Some(file) => {
            names.remove(name);
        }
        _ => {}
    }
}
