//! Rules for publishing fleet files.

use std::sync::Arc;

use super::{Rejection, Result, State};
use crate::config::{Config, VersionedFile};
use crate::id::{FilePath, Offset, PoolId};
use crate::record::{FileChange, Publish};

impl State {
    /// Applies all changes of a publish, or none.
    pub(super) fn publish(&mut self, offset: Offset, publish: &Publish) -> Result<()> {
        for (path, change) in &publish.changes {
            self.check_base(path, change)?;
        }
        let mut files = self.config.files.clone();
        for (path, change) in &publish.changes {
            match &change.file {
                Some(file) => {
                    let file = file.clone();
                    files.insert(
                        path.clone(),
                        VersionedFile {
                            version: offset,
                            file,
                        },
                    )
                }
                None => files.remove(path),
            };
        }
        let config = Config::from_files(files).map_err(Rejection::Invalid)?;
        self.check_pools_in_use(&config)?;
        let is_removed = |pool: &PoolId| !config.pools.contains_key(pool);
        if self.config.pools.keys().any(is_removed) {
            Arc::make_mut(&mut self.waves).retain_pools(&config);
        }
        self.config = Arc::new(config);
        Ok(())
    }

    /// Checks that the version in force is the one on which the change is based. Otherwise, if two
    /// operators edit the same version, the later publish would silently undo the earlier one. The
    /// rejection names the offset of the publish that came first.
    fn check_base(&self, path: &FilePath, change: &FileChange) -> Result<()> {
        let version = self.config.files.get(path).map(|file| file.version);
        if version == change.base {
            return Ok(());
        }
        Err(Rejection::BaseChanged {
            path: path.clone(),
            version,
        })
    }

    /// Checks that no pool is removed that has instances or to which instances are moving: the
    /// instances would be left in no pool, and the moves could never complete.
    fn check_pools_in_use(&self, config: &Config) -> Result<()> {
        let used = self.fleet.instances.values().flat_map(|instance| {
            let to = instance.phase.moving_to();
            std::iter::once(&instance.pool).chain(to)
        });
        match used.into_iter().find(|p| !config.pools.contains_key(*p)) {
            Some(pool) => Err(Rejection::PoolInUse(pool.clone())),
            None => Ok(()),
        }
    }
}
