//! Queue of a team's waiting jobs, in order of submission, by class.
//!
//! Jobs of one class have similar needs: if the first one fits no worker, the others of its class
//! are unlikely to. To avoid head-of-line blocking, the first job of the next class is then tried.

use std::collections::{BTreeMap, BTreeSet};

use pomelohitch_core::id::{JobClass, JobId};

use super::QueueKey;

/// Queue of waiting jobs.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(super) struct Queue {
    by_class: BTreeMap<JobClass, BTreeSet<QueueKey>>,
    /// The first job of each class.
    heads: BTreeSet<(QueueKey, JobClass)>,
    len: usize,
}

impl Queue {
    pub(super) fn len(&self) -> usize {
        self.len
    }

    pub(super) fn is_empty(&self) -> bool {
        self.len == 0
    }

    pub(super) fn insert(&mut self, class: &JobClass, key: QueueKey) {
        self.update_class(class, |jobs| jobs.insert(key));
    }

    pub(super) fn remove(&mut self, class: &JobClass, key: &QueueKey) {
        self.update_class(class, |jobs| jobs.remove(key));
    }

    /// The first job of each class that isn't skipped, ordered by the first jobs of the classes.
    pub(super) fn first_of_each_class<'a>(
        &'a self,
        is_skipped: impl Fn(&JobId) -> bool + 'a,
    ) -> impl Iterator<Item = &'a JobId> {
        let classes = self.classes();
        classes.filter_map(move |class| self.first_of_class(class, &is_skipped))
    }

    /// The classes, ordered by their first jobs.
    pub(super) fn classes(&self) -> impl Iterator<Item = &JobClass> {
        self.heads.iter().map(|(_, class)| class)
    }

    /// The first job of a class that isn't skipped.
    pub(super) fn first_of_class(
        &self,
        class: &JobClass,
        is_skipped: impl Fn(&JobId) -> bool,
    ) -> Option<&JobId> {
        let mut jobs = self.by_class.get(class)?.iter().map(|(_, id)| id);
        jobs.find(|id| !is_skipped(id))
    }

    /// Changes the jobs of a class, and updates `len` and `heads` to match.
    fn update_class(
        &mut self,
        class: &JobClass,
        change: impl FnOnce(&mut BTreeSet<QueueKey>) -> bool,
    ) {
        let jobs = self.by_class.entry(class.clone()).or_default();
        let (head, len) = (jobs.first().cloned(), jobs.len());
        change(jobs);
        self.len = self.len + jobs.len() - len;
        let new_head = jobs.first().cloned();
        if jobs.is_empty() {
            self.by_class.remove(class);
        }
        if head == new_head {
            return;
        }
        if let Some(head) = head {
            self.heads.remove(&(head, class.clone()));
        }
        if let Some(head) = new_head {
            self.heads.insert((head, class.clone()));
        }
    }
}
