//! What a process really does to the files of a folder, call by call, and what a loss of power may leave of that: of each
//! file what its last sync covered and of later writes each whole, missing or torn; of names what the folder's last
//! sync covered, and each later one kept or lost by itself.

use std::collections::{BTreeMap, HashMap};
use std::io::{BufRead, BufReader, Write};
use std::os::unix::fs::FileExt;
use std::path::Path;
use std::process::{Command, Stdio};

use nix::sys::ptrace::{self, Options};
use nix::sys::signal::Signal;
use nix::sys::wait::{waitpid, WaitPidFlag, WaitStatus};
use nix::unistd::{gettid, Pid};

#[derive(Clone, Debug)]
pub enum Step {
    Make {
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
        at: usize,
        bytes: Vec<u8>,
    },
    Cut {
        file: usize,
        length: usize,
    },
    Sync {
        file: usize,
    },
    SyncFolder,
    /// The process tells how far it is.
    Said(String),
}

/// What the process says is told to the recorder by this start of a line.
const MARK: &str = "mark ";

pub fn say(what: &str) {
    let mut out = std::io::stdout();
    out.write_all(format!("{MARK}{what}\n").as_bytes()).and_then(|()| out.flush()).unwrap();
}

/// In the recorded process: waits until the recorder follows this thread.
pub fn await_recorder() {
    println!("\nthread {}", gettid());
    let mut line = String::new();
    std::io::stdin().read_line(&mut line).unwrap();
}

pub type Files = BTreeMap<String, Vec<u8>>;

pub fn read_folder(folder: &Path) -> Files {
    let entries = std::fs::read_dir(folder).map(|all| all.flatten().collect::<Vec<_>>()).unwrap_or_default();
    let read = |entry: &std::fs::DirEntry| {
        (entry.file_name().into_string().unwrap(), std::fs::read(entry.path()).unwrap())
    };
    entries.iter().map(read).collect()
}

pub fn write_folder(folder: &Path, files: &Files) {
    let _ = std::fs::remove_dir_all(folder);
    std::fs::create_dir_all(folder).unwrap();
    for (name, bytes) in files {
        std::fs::write(folder.join(name), bytes).unwrap();
    }
}

/// A call as it began.
enum Begun {
    Open { name: String, flags: u64 },
    Other(Option<Step>),
}

struct Recorder {
    folder: String,
    memory: std::fs::File,
    /// Files by open descriptor; `None` is the folder.
    open: HashMap<u64, Option<usize>>,
    names: BTreeMap<String, usize>,
    files: usize,
    steps: Vec<Step>,
}

// Flags of `open` on Linux.
const CREATE: u64 = 0o100;
const TRUNCATE: u64 = 0o1000;

impl Recorder {
    fn bytes(&self, at: u64, length: u64) -> Vec<u8> {
        let mut bytes = vec![0; length as usize];
        self.memory.read_exact_at(&mut bytes, at).unwrap();
        bytes
    }

    /// The name within the folder; empty for the folder itself.
    fn name(&self, at: u64) -> Option<String> {
        let mut bytes = vec![0; 4096];
        let read = self.memory.read_at(&mut bytes, at).unwrap();
        let path = bytes[..read].split(|byte| *byte == 0).next().unwrap();
        let inside = std::str::from_utf8(path).ok()?.strip_prefix(&self.folder)?;
        Some(inside.trim_matches('/').to_owned())
    }

    fn begin(&self, call: u64, a: [u64; 4]) -> Begun {
        let file = |fd: u64| self.open.get(&fd).copied().flatten();
        let step = match call {
            2 | 257 => {
                let (path, flags) = if call == 2 { (a[0], a[1]) } else { (a[1], a[2]) };
                match self.name(path) {
                    Some(name) => return Begun::Open { name, flags },
                    None => None,
                }
            }
            1 if a[0] == 1 => {
                let said = String::from_utf8_lossy(&self.bytes(a[1], a[2])).into_owned();
                said.strip_prefix(MARK).map(|what| Step::Said(what.trim_end().to_owned()))
            }
            1 => {
                assert!(file(a[0]).is_none(), "a write without a place is not modelled");
                None
            }
            18 => {
                file(a[0]).map(|file| Step::Write { file, at: a[3] as usize, bytes: self.bytes(a[1], a[2]) })
            }
            20 | 40 | 285 | 295 | 296 | 328 => {
                assert!(file(a[0]).is_none(), "call {call} is not modelled");
                None
            }
            77 => file(a[0]).map(|file| Step::Cut { file, length: a[1] as usize }),
            74 | 75 => {
                self.open.get(&a[0]).map(|file| file.map_or(Step::SyncFolder, |file| Step::Sync { file }))
            }
            82 | 264 | 316 => {
                let (from, to) = if call == 82 { (a[0], a[1]) } else { (a[1], a[3]) };
                self.name(from).zip(self.name(to)).and_then(|(from, to)| {
                    let file = *self.names.get(&from)?;
                    Some(Step::Rename { from, to, file })
                })
            }
            87 | 263 => {
                let name = self.name(if call == 87 { a[0] } else { a[1] });
                name.and_then(|name| Some(Step::Remove { file: *self.names.get(&name)?, name }))
            }
            _ => None,
        };
        Begun::Other(step)
    }

    fn end(&mut self, begun: Begun, call: u64, first: u64, result: u64) {
        if result as i64 >= 0 || matches!(begun, Begun::Other(Some(Step::Said(_)))) {
            match begun {
                Begun::Open { name, .. } if name.is_empty() => {
                    self.open.insert(result, None);
                }
                Begun::Open { name, flags } => {
                    let file = if let Some(file) = self.names.get(&name) {
                        if flags & TRUNCATE != 0 {
                            self.steps.push(Step::Cut { file: *file, length: 0 });
                        }
                        *file
                    } else {
                        assert!(flags & CREATE != 0, "{name} is not known");
                        self.files += 1;
                        self.names.insert(name.clone(), self.files - 1);
                        self.steps.push(Step::Make { name, file: self.files - 1 });
                        self.files - 1
                    };
                    self.open.insert(result, Some(file));
                }
                Begun::Other(Some(step)) => {
                    match &step {
                        Step::Rename { from, to, file } => {
                            self.names.remove(from);
                            self.names.insert(to.clone(), *file);
                        }
                        Step::Remove { name, .. } => {
                            self.names.remove(name);
                        }
                        _ => {}
                    }
                    self.steps.push(step);
                }
                Begun::Other(None) => {}
            }
        }
        if call == 3 {
            self.open.remove(&first);
        }
    }
}

/// Runs a test of this very binary in a process of its own, and records what its thread does in the folder, until it
/// says `end`.
pub fn record(test: &str, scenario: &str, folder: &Path) -> Vec<Step> {
    let mut child = Command::new(std::env::current_exe().unwrap())
        .args(["--exact", test, "--ignored", "--nocapture"])
        .env("SCENARIO", scenario)
        .env("FOLDER", folder)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let mut said = BufReader::new(child.stdout.take().unwrap());
    let thread = loop {
        let mut line = String::new();
        assert!(said.read_line(&mut line).unwrap() > 0, "the recorded process names its thread");
        if let Some(thread) = line.strip_prefix("thread ") {
            break Pid::from_raw(thread.trim().parse().unwrap());
        }
    };
    ptrace::seize(thread, Options::PTRACE_O_TRACESYSGOOD).expect("a process may follow its child");
    ptrace::interrupt(thread).unwrap();
    let names: Vec<String> = read_folder(folder).into_keys().collect();
    let mut recorder = Recorder {
        folder: folder.to_str().unwrap().to_owned(),
        memory: std::fs::File::open(format!("/proc/{thread}/mem")).unwrap(),
        open: HashMap::new(),
        files: names.len(),
        names: names.into_iter().enumerate().map(|(file, name)| (name, file)).collect(),
        steps: Vec::new(),
    };
    let mut begun = None;
    let mut go = child.stdin.take();
    loop {
        let mut signal = None;
        match waitpid(thread, Some(WaitPidFlag::__WALL)).unwrap() {
            WaitStatus::PtraceSyscall(_) => {
                let regs = ptrace::getregs(thread).unwrap();
                // Where a call begins, its result reads "no such call" until it has one.
                if regs.rax as i64 == -(nix::errno::Errno::ENOSYS as i64) {
                    let args = [regs.rdi, regs.rsi, regs.rdx, regs.r10];
                    begun = Some((recorder.begin(regs.orig_rax, args), regs.orig_rax, regs.rdi));
                } else if let Some((begun, call, first)) = begun.take() {
                    recorder.end(begun, call, first, regs.rax);
                }
                if matches!(recorder.steps.last(), Some(Step::Said(what)) if what == "end") {
                    break;
                }
            }
            WaitStatus::PtraceEvent(..) => {
                if let Some(mut go) = go.take() {
                    go.write_all(b"go\n").unwrap();
                }
            }
            WaitStatus::Stopped(_, what) => signal = Some(what).filter(|what| *what != Signal::SIGTRAP),
            other => panic!("the recorded process ended: {other:?}, after {:?}", recorder.steps.last()),
        }
        ptrace::syscall(thread, signal).unwrap();
    }
    ptrace::detach(thread, None).unwrap();
    // The rest is for nobody, and must have somewhere to go.
    std::io::copy(&mut said, &mut std::io::sink()).unwrap();
    child.wait().unwrap();
    recorder.steps
}

/// What became of a write that no sync covered.
#[derive(Clone, Copy, PartialEq)]
enum Fate {
    There,
    Missing,
    /// Its first half is there.
    Torn,
    /// Less than the shortest sector is.
    Begun,
}

#[derive(Clone, Default)]
struct File {
    synced: Vec<u8>,
    later: Vec<Step>,
}

impl File {
    fn left(&self, fates: impl Fn(usize) -> Fate) -> Vec<u8> {
        let mut bytes = self.synced.clone();
        for (number, step) in self.later.iter().enumerate() {
            match (step, fates(number)) {
                (_, Fate::Missing) | (Step::Cut { .. }, Fate::Torn | Fate::Begun) => {}
                (Step::Cut { length, .. }, Fate::There) => bytes.resize(*length, 0),
                (Step::Write { at, bytes: new, .. }, fate) => {
                    let new = match fate {
                        Fate::Torn => &new[..new.len() / 2],
                        Fate::Begun => &new[..new.len() / 16],
                        _ => new,
                    };
                    bytes.resize(bytes.len().max(at + new.len()), 0);
                    bytes[*at..at + new.len()].copy_from_slice(new);
                }
                _ => {}
            }
        }
        bytes
    }
}

/// All that may lie in the folder after a loss of power after these steps, as far as it is tried: each choice of names,
/// with the later writes all there, all missing, each one by itself missing, torn or there alone, and some at random.
pub fn crashes(before: &Files, steps: &[Step], random: u64) -> Vec<Files> {
    let mut files: Vec<File> =
        before.values().map(|bytes| File { synced: bytes.clone(), later: Vec::new() }).collect();
    let mut names: BTreeMap<String, usize> = before.keys().cloned().zip(0..).collect();
    let mut later_names: Vec<&Step> = Vec::new();
    for step in steps {
        match step {
            Step::Make { file, .. } => {
                files.resize(files.len().max(file + 1), File::default());
                later_names.push(step);
            }
            Step::Rename { .. } | Step::Remove { .. } => later_names.push(step),
            Step::Write { file, .. } | Step::Cut { file, .. } => files[*file].later.push(step.clone()),
            Step::Sync { file } => {
                files[*file].synced = files[*file].left(|_| Fate::There);
                files[*file].later.clear();
            }
            Step::SyncFolder => later_names.drain(..).for_each(|step| rename(&mut names, step)),
            Step::Said(_) => {}
        }
    }
    let writes: usize = files.iter().map(|file| file.later.len()).sum();
    let mut choices: Vec<Vec<Fate>> = vec![vec![Fate::There; writes], vec![Fate::Missing; writes]];
    for one in 0..writes {
        for (all, but) in [
            (Fate::There, Fate::Missing),
            (Fate::There, Fate::Torn),
            (Fate::Missing, Fate::There),
            (Fate::Missing, Fate::Torn),
            (Fate::Missing, Fate::Begun),
        ] {
            let mut fates = vec![all; writes];
            fates[one] = but;
            choices.push(fates);
        }
    }
    let mut draw = random.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1;
    for _ in 0..4 {
        let fate = |_| {
            // A few steps of xorshift are random enough to choose by.
            draw ^= draw << 13;
            draw ^= draw >> 7;
            draw ^= draw << 17;
            [Fate::There, Fate::Missing, Fate::Torn, Fate::Begun][(draw >> 32) as usize % 4]
        };
        choices.push((0..writes).map(fate).collect());
    }
    assert!(later_names.len() < 8, "too many names without a sync of the folder: {later_names:?}");
    let mut found = Vec::new();
    for kept in 0..1u32 << later_names.len() {
        let mut names = names.clone();
        for (number, step) in later_names.iter().enumerate() {
            if kept >> number & 1 == 1 {
                rename(&mut names, step);
            }
        }
        for fates in &choices {
            let mut first = 0;
            let mut left = Vec::new();
            for file in &files {
                left.push(file.left(|number| fates[first + number]));
                first += file.later.len();
            }
            found.push(names.iter().map(|(name, file)| (name.clone(), left[*file].clone())).collect());
        }
    }
    found
}

fn rename(names: &mut BTreeMap<String, usize>, step: &Step) {
    match step {
        Step::Make { name, file } => {
            names.insert(name.clone(), *file);
        }
        Step::Rename { from, to, file } => {
            if names.get(from) == Some(file) {
                names.remove(from);
            }
            names.insert(to.clone(), *file);
        }
        Step::Remove { name, file } if names.get(name) == Some(file) => {
            names.remove(name);
        }
        _ => {}
    }
}
