//! Checks and applies changes of configuration.

use std::collections::BTreeSet;

use crate::state::fleet::Entry;
use crate::state::fleet::Fleet;
use crate::state::fleet::Pool;
use crate::state::fleet::Service;
use crate::state::fold::Object;
use crate::state::fold::Refusal;
use crate::state::id::BoxId;
use crate::state::id::Offset;
use crate::state::id::PoolId;
use crate::state::id::ServiceKey;
use crate::state::record::Change;
use crate::state::record::Edit;

impl Fleet {
    /// Accepts all edits or none.
    pub(super) fn publish(&mut self, at: Offset, change: &Change) -> Result<(), Refusal> {
        let mut claimed = BTreeSet::new();
        for edit in &change.edits {
            self.check_edit(change, edit, &mut claimed)?;
        }
        for edit in &change.edits {
            self.apply_edit(at, edit);
        }
        if !change.edits.is_empty() {
            self.configured = at;
        }
        Ok(())
    }

    fn check_edit<'a>(
        &self,
        change: &Change,
        edit: &'a Edit,
        claimed: &mut BTreeSet<&'a BoxId>,
    ) -> Result<(), Refusal> {
        match edit {
            Edit::Account(id, base, _) => {
                let now = self.accounts.get(id).map_or(0, |account| account.version);
                check_version(Object::Account(id.as_ref().into()), *base, now)
            }
            Edit::Pool(id, base, pool) => self.check_pool(change, id, *base, pool),
            Edit::Service(account, id, base, service) => {
                let key = (account.clone(), id.clone());
                self.check_service(change, &key, *base, service)
            }
            Edit::Claim(target, pool, _) => {
                if self.boxes.contains_key(target) || !claimed.insert(target) {
                    return Err(Refusal::BoxTaken { target: target.clone() });
                }
                self.check_pool_exists(change, pool)
            }
        }
    }

    fn check_pool(
        &self,
        change: &Change,
        id: &PoolId,
        base: Offset,
        pool: &Pool,
    ) -> Result<(), Refusal> {
        let object = Object::Pool(id.as_ref().into());
        let current = self.pools.get(id);
        check_version(object.clone(), base, current.map_or(0, |current| current.version))?;
        if current.is_some_and(|current| current.account != pool.account) {
            return Err(Refusal::InUse { object });
        }
        let is_added = |edit: &Edit| matches!(edit, Edit::Account(id, ..) if *id == pool.account);
        if self.accounts.contains_key(&pool.account) || change.edits.iter().any(is_added) {
            return Ok(());
        }
        let object = Object::Account(pool.account.as_ref().into());
        Err(Refusal::Missing { object })
    }

    fn check_service(
        &self,
        change: &Change,
        key: &ServiceKey,
        base: Offset,
        service: &Service,
    ) -> Result<(), Refusal> {
        let object = Object::Service(key.1.as_ref().into());
        let current = self.services.get(key);
        check_version(object.clone(), base, current.map_or(0, |current| current.version))?;
        let is_moved = |current: &Service| current.pool != service.pool && current.is_placed();
        if current.is_some_and(is_moved) {
            return Err(Refusal::InUse { object });
        }
        self.check_pool_exists(change, &service.pool)
    }

    fn check_pool_exists(&self, change: &Change, pool: &PoolId) -> Result<(), Refusal> {
        let is_added = |edit: &Edit| matches!(edit, Edit::Pool(id, ..) if id == pool);
        if self.pools.contains_key(pool) || change.edits.iter().any(is_added) {
            return Ok(());
        }
        let object = Object::Pool(pool.as_ref().into());
        Err(Refusal::Missing { object })
    }

    /// Applies a checked edit. The fields that the fold maintains (a pool's boxes, the boxes a
    /// service runs on) keep their values.
    fn apply_edit(&mut self, at: Offset, edit: &Edit) {
        match edit {
            Edit::Account(id, _, account) => {
                let mut account = account.clone();
                account.version = at;
                self.accounts.insert(id.clone(), account);
            }
            Edit::Pool(id, _, pool) => {
                let mut pool = pool.clone();
                pool.version = at;
                let boxes = self.pools.get(id).map(|current| current.boxes.clone());
                pool.boxes = boxes.unwrap_or_default();
                self.pools.insert(id.clone(), pool);
            }
            Edit::Service(account, id, _, service) => {
                let key = (account.clone(), id.clone());
                let mut service = service.clone();
                service.version = at;
                let current = self.services.get(&key);
                service.placed = current.map(|s| s.placed.clone()).unwrap_or_default();
                service.starting = current.map(|s| s.starting.clone()).unwrap_or_default();
                self.services.insert(key, service);
            }
            Edit::Claim(target, pool, shape) => {
                let entry = Entry::new(pool.clone(), shape.clone(), at);
                self.insert_box(at, target, entry);
            }
        }
    }

    /// Adds a box that is in no pool to [`Fleet::boxes`] and to the [`Pool::boxes`] of its pool.
    pub(super) fn insert_box(&mut self, at: Offset, target: &BoxId, entry: Entry) {
        if let Some(pool) = self.pools.get_mut(&entry.pool) {
            pool.boxes.insert(target.clone());
            pool.version = at;
        }
        self.boxes.insert(target.clone(), entry);
    }
}

fn check_version(object: Object, read: Offset, now: Offset) -> Result<(), Refusal> {
    if read == now {
        return Ok(());
    }
    Err(Refusal::Stale { object, read, now })
}
