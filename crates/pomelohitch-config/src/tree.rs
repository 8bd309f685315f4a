//! Loads all fleet files below a directory and checks the rules that span files.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

use pomelohitch_core::config::{self, Config, VersionedFile};
use pomelohitch_core::id::FilePath;
use snafu::{ResultExt, Snafu};

use crate::FILE_NAME;
use crate::fault::Fault;
use crate::parse::{Declaration, Parsed, parse};

/// Maximum size of a fleet file, in bytes. Limits the size of a log record, which holds all files
/// that a publish changes.
const MAX_FILE_BYTES: u64 = 256 * 1024;

/// Loading a tree failed.
#[derive(Debug, Snafu)]
pub enum Error {
    /// A file or directory can't be read.
    #[snafu(display("read {}: {source}; check the path and its permissions", path.display()))]
    Io {
        /// Path of the file or directory.
        path: PathBuf,
        /// The I/O error.
        source: std::io::Error,
    },
    /// The directory contains no fleet file.
    #[snafu(display("no {FILE_NAME} below {}; check the path", root.display()))]
    Empty {
        /// Root of the tree.
        root: PathBuf,
    },
    /// The files have faults.
    #[snafu(display("{} fault(s) in the fleet files", faults.len()))]
    Faults {
        /// All faults of all files, sorted by file and line.
        faults: Vec<Fault>,
    },
}

/// Result of loading a tree.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// The files of a tree, each without faults of its own.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Tree {
    /// Files by path relative to the root, with `/` as the separator.
    pub files: BTreeMap<FilePath, Parsed>,
}

impl Tree {
    /// Reads every fleet file below `root`.
    ///
    /// Hidden directories and symbolic links are skipped: a link could lead out of the tree or form
    /// a cycle.
    ///
    /// # Errors
    /// If a file or directory can't be read, the directory contains no fleet file, or files have
    /// faults. [`Error::Faults`] lists the faults of all files.
    pub fn load(root: &Path) -> Result<Tree> {
        let mut paths = Vec::new();
        find_files(root, &mut paths)?;
        paths.sort();
        if paths.is_empty() {
            return EmptySnafu { root }.fail();
        }
        let mut tree = Tree::default();
        let mut faults = Vec::new();
        for path in paths {
            let name = relative_path(root, &path);
            match read_file(&name, &path)? {
                Ok(parsed) => {
                    tree.files.insert(name, parsed);
                }
                Err(found) => faults.extend(found),
            }
        }
        if faults.is_empty() {
            Ok(tree)
        } else {
            FaultsSnafu { faults }.fail()
        }
    }

    /// Checks the rules that span files, over the files of this tree and `others`, the files in
    /// force that belong to other trees.
    ///
    /// # Errors
    /// All faults, sorted, each located at a line of this tree where one exists.
    pub fn check(&self, others: &BTreeMap<FilePath, VersionedFile>) -> Result<(), Vec<Fault>> {
        let mut files = others.clone();
        for (path, parsed) in &self.files {
            let file = parsed.file.clone();
            files.insert(path.clone(), VersionedFile { version: 0, file });
        }
        let Err(found) = Config::from_files(files) else {
            return Ok(());
        };
        let mut faults: Vec<_> = found.iter().map(|f| self.locate(f, others)).collect();
        faults.sort();
        faults.dedup();
        Err(faults)
    }

    /// Converts a violated rule that spans files to a fault at the line where it can be fixed.
    #[must_use]
    pub fn locate(
        &self,
        fault: &config::Fault,
        others: &BTreeMap<FilePath, VersionedFile>,
    ) -> Fault {
        match fault {
            config::Fault::Duplicate { kind, id } => self.locate_duplicate(kind, id, others),
            config::Fault::UnknownPool { service, pool } => {
                let (path, line) = self.last_declaration("pool of service", service);
                Fault {
                    path,
                    line,
                    what: format!(
                        "service '{service}' names pool '{pool}', which no file declares"
                    )
                    .into(),
                    fix: format!("declare [pool.{pool}] or name another").into(),
                }
            }
        }
    }

    fn locate_duplicate(
        &self,
        kind: &str,
        id: &str,
        others: &BTreeMap<FilePath, VersionedFile>,
    ) -> Fault {
        let (path, line) = self.last_declaration(kind, id);
        let elsewhere = self.declarations(kind, id).find(|other| other.0 != path);
        let first = match elsewhere {
            Some((path, line)) => format!("{path}:{line}"),
            None => others
                .iter()
                .find(|(other, entry)| **other != path && declares(&entry.file, kind, id))
                .map_or_else(
                    || "another file".into(),
                    |(path, _)| format!("{path}, in force"),
                ),
        };
        Fault {
            path,
            line,
            what: format!(
                "{kind} '{}' is also declared in {first}",
                abbreviated(kind, id)
            )
            .into(),
            fix: "remove or rename one of the two".into(),
        }
    }

    fn declarations<'a>(
        &'a self,
        kind: &str,
        id: &str,
    ) -> impl Iterator<Item = (FilePath, usize)> + use<'a> {
        let declared = Declaration::new(kind, id);
        self.files.iter().filter_map(move |(path, parsed)| {
            let line = parsed.lines.get(&declared)?;
            Some((path.clone(), *line))
        })
    }

    fn last_declaration(&self, kind: &str, id: &str) -> (FilePath, usize) {
        // A rule that only files outside the tree violate has no line in the tree.
        self.declarations(kind, id)
            .last()
            .unwrap_or_else(|| ("(in force)".into(), 0))
    }
}

fn declares(file: &pomelohitch_core::FleetFile, kind: &str, id: &str) -> bool {
    match kind {
        "team" => file.teams.iter().any(|team| &*team.id == id),
        "pool" => file.pools.iter().any(|pool| &*pool.id == id),
        "service" => file.services.iter().any(|service| &*service.id == id),
        _ => file
            .teams
            .iter()
            .any(|team| team.keys.iter().any(|key| &**key == id)),
    }
}

/// Number of leading digits of a key hash in messages.
const SHOWN_HASH_DIGITS: usize = 12;

fn abbreviated<'a>(kind: &str, id: &'a str) -> &'a str {
    match kind {
        "key" => id.get(..SHOWN_HASH_DIGITS).unwrap_or(id),
        _ => id,
    }
}

fn find_files(dir: &Path, found: &mut Vec<PathBuf>) -> Result<()> {
    for entry in std::fs::read_dir(dir).context(IoSnafu { path: dir })? {
        let entry = entry.context(IoSnafu { path: dir })?;
        let kind = entry.file_type().context(IoSnafu { path: entry.path() })?;
        let name = entry.file_name();
        if kind.is_dir() && !name.as_encoded_bytes().starts_with(b".") {
            find_files(&entry.path(), found)?;
        } else if kind.is_file() && name == FILE_NAME {
            found.push(entry.path());
        }
    }
    Ok(())
}

fn relative_path(root: &Path, path: &Path) -> FilePath {
    let relative = path.strip_prefix(root).unwrap_or(path);
    let parts: Vec<_> = relative
        .components()
        .map(|part| part.as_os_str().to_string_lossy())
        .collect();
    parts.join("/").into()
}

fn read_file(name: &str, path: &Path) -> Result<Result<Parsed, Vec<Fault>>> {
    let size = std::fs::metadata(path).context(IoSnafu { path })?.len();
    if size > MAX_FILE_BYTES {
        return Ok(Err(vec![Fault {
            path: name.into(),
            line: 1,
            what: format!("the file has {size} bytes").into(),
            fix: format!("split it into files of at most {MAX_FILE_BYTES} bytes").into(),
        }]));
    }
    let text = std::fs::read_to_string(path).context(IoSnafu { path })?;
    Ok(parse(name, &text))
}
