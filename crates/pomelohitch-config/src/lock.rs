//! The lock file, which records the versions that the files in a checkout are based on.
//!
//! A publish states, for each file, the version in force on which the operator's edit is based. The
//! lock file keeps these versions in version control beside the fleet files. If two operators edit
//! the same version, the second publish is detected as stale.

use std::collections::BTreeMap;
use std::path::Path;

use pomelohitch_core::id::{FilePath, Offset};
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};

use crate::LOCK_NAME;

/// Reading or writing the lock file failed.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The lock file can't be read, written or replaced.
    #[snafu(display("{step} {LOCK_NAME}: {source}; check the permissions of the tree"))]
    Io {
        /// The operation that failed: `read`, `write` or `replace`.
        step: &'static str,
        /// The I/O error.
        source: std::io::Error,
    },
    /// The content isn't a valid lock file, for example after a merge conflict.
    #[snafu(display(
        "read {LOCK_NAME}: {source}; take it from your version control again, or remove it and \
         run `pomelohitch diff --rebase`"
    ))]
    Parse {
        /// The TOML error.
        #[snafu(source(from(toml::de::Error, Box::new)))]
        source: Box<toml::de::Error>,
    },
}

/// Result of reading or writing the lock file.
pub type Result<T, E = Error> = std::result::Result<T, E>;

const HEADING: &str =
    "# Versions in force that these files started from. Written by pomelohitch; commit it.\n";

/// Content of the lock file. A file that isn't listed was not in force when the edit began.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Lock {
    /// For each file of the tree, the version in force on which the checkout is based.
    #[serde(default)]
    pub files: BTreeMap<FilePath, Offset>,
}

impl Lock {
    /// Reads the lock file of the tree at `root`. Returns an empty lock if there is no file, as
    /// before the first publish.
    ///
    /// # Errors
    /// If the file exists but can't be read or parsed.
    pub fn load(root: &Path) -> Result<Lock> {
        match std::fs::read_to_string(root.join(LOCK_NAME)) {
            Ok(text) => toml::from_str(&text).context(ParseSnafu),
            Err(error) if error.kind() == std::io::ErrorKind::NotFound => Ok(Lock::default()),
            Err(source) => Err(source).context(IoSnafu { step: "read" }),
        }
    }

    /// Writes the lock file of the tree at `root`. Writes a temporary file and renames it, so that
    /// a process killed during the write leaves the previous lock file intact.
    ///
    /// # Errors
    /// If the file can't be written or renamed.
    ///
    /// # Panics
    /// Never: a map from strings to integers always serialises to TOML.
    pub fn store(&self, root: &Path) -> Result<()> {
        let body = toml::to_string(self)
            .expect("a map from strings to integers always serialises to TOML");
        let new = root.join(format!("{LOCK_NAME}.new"));
        std::fs::write(&new, format!("{HEADING}{body}")).context(IoSnafu { step: "write" })?;
        std::fs::rename(&new, root.join(LOCK_NAME)).context(IoSnafu { step: "replace" })
    }
}
