//! Validates a configuration file against the fleet and computes the edits.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use toml::Spanned;

use crate::state::account::KeyHash;
use crate::state::account::SITE;
use crate::state::account::Scope;
use crate::state::account::parse_hash;
use crate::state::config::Document;
use crate::state::config::Fault;
use crate::state::config::FaultKind;
use crate::state::config::Shapes;
use crate::state::config::file::AccountSection;
use crate::state::config::file::PoolSection;
use crate::state::config::file::ServiceSection;
use crate::state::config::file::span_of;
use crate::state::fleet::Account;
use crate::state::fleet::Budget;
use crate::state::fleet::Fleet;
use crate::state::fleet::Pool;
use crate::state::fleet::Service;
use crate::state::id::PoolId;
use crate::state::id::is_name;
use crate::state::record::Change;
use crate::state::record::Edit;

/// Maximum number of slots that a service may use on one box.
const MAX_SLOTS: u32 = 1024;

pub(super) fn compile(
    document: &Document,
    fleet: &Fleet,
    shapes: &Shapes,
    scope: &Scope,
) -> Result<Change, Vec<Fault>> {
    let mut check = Check {
        fleet,
        shapes,
        scope,
        edits: Vec::new(),
        faults: Vec::new(),
        accounts: BTreeSet::new(),
        pools: BTreeMap::new(),
        claims: BTreeMap::new(),
    };
    check.check_sections(document);
    if check.faults.is_empty() { Ok(Change { edits: check.edits }) } else { Err(check.faults) }
}

/// A pool as it will be after the edits; services are checked against it.
struct PlannedPool {
    pool: Pool,
    /// Number of boxes, including those that the file claims.
    boxes: u32,
}

/// State of one validation run.
struct Check<'a> {
    fleet: &'a Fleet,
    shapes: &'a Shapes,
    scope: &'a Scope,
    edits: Vec<Edit>,
    faults: Vec<Fault>,
    /// Accounts of the file.
    accounts: BTreeSet<&'a str>,
    /// Pools of the file, by name.
    pools: BTreeMap<&'a str, PlannedPool>,
    /// Boxes that the file lists, with the pool that lists them.
    claims: BTreeMap<&'a str, &'a str>,
}

impl<'a> Check<'a> {
    fn check_sections(&mut self, document: &'a Document) {
        if *self.scope != Scope::Site {
            self.report_site_sections(document);
        }
        for section in &document.account {
            self.check_account(section);
        }
        for section in &document.pool {
            self.check_pool(section);
        }
        let mut names = BTreeSet::new();
        for section in &document.service {
            let key = (section.account.as_ref().as_str(), section.name.as_ref().as_str());
            if !names.insert(key) {
                self.report_duplicate(&section.name);
            }
            self.check_service(section);
        }
    }

    fn report<T>(&mut self, at: &Spanned<T>, kind: FaultKind) {
        self.faults.push(Fault { kind, span: span_of(at) });
    }

    fn report_duplicate(&mut self, name: &Spanned<String>) {
        let kind = FaultKind::Duplicate { name: name.as_ref().as_str().into() };
        self.report(name, kind);
    }

    fn report_site_sections(&mut self, document: &Document) {
        for section in &document.account {
            let kind = FaultKind::NotAllowed { section: "account".into() };
            self.report(&section.name, kind);
        }
        for section in &document.pool {
            let kind = FaultKind::NotAllowed { section: "pool".into() };
            self.report(&section.name, kind);
        }
    }

    fn check_name(&mut self, name: &Spanned<String>) {
        if !is_name(name.as_ref()) {
            let kind = FaultKind::Name { name: name.as_ref().as_str().into() };
            self.report(name, kind);
        }
    }

    fn check_range(&mut self, key: &str, value: &Spanned<u32>, min: u32, max: u32) {
        let number = *value.as_ref();
        if number < min || number > max {
            let kind = FaultKind::Range { key: key.into(), value: number, min, max };
            self.report(value, kind);
        }
    }

    fn check_account(&mut self, section: &'a AccountSection) {
        self.check_name(&section.name);
        let name = section.name.as_ref().as_str();
        if name == SITE {
            let kind = FaultKind::Name { name: name.into() };
            self.report(&section.name, kind);
        }
        if !self.accounts.insert(name) {
            self.report_duplicate(&section.name);
        }
        let mut account = Account {
            caller_keys: self.parse_hashes(&section.caller_key_hashes),
            operator_keys: self.parse_hashes(&section.operator_key_hashes),
            quota_slots: section.quota_slots,
            version: 0,
        };
        let current = self.fleet.accounts.get(name);
        let base = current.map_or(0, |current| current.version);
        account.version = base;
        if current != Some(&account) {
            self.edits.push(Edit::Account(name.into(), base, account));
        }
    }

    fn parse_hashes(&mut self, texts: &[Spanned<String>]) -> Vec<KeyHash> {
        let mut hashes = Vec::with_capacity(texts.len());
        for text in texts {
            match parse_hash(text.as_ref()) {
                Some(hash) => hashes.push(hash),
                None => self.report(text, FaultKind::Hash),
            }
        }
        hashes
    }

    fn check_pool(&mut self, section: &'a PoolSection) {
        self.check_name(&section.name);
        let name = section.name.as_ref().as_str();
        self.check_account_exists(&section.account);
        for account in &section.shared_with {
            self.check_account_exists(account);
        }
        let claims = self.compile_claims(section);
        let boxes = self.fleet.pools.get(name).map_or(0, |pool| pool.boxes.len()) + claims.len();
        let budget = self.check_budget(section, boxes as u32);
        let pool = self.edit_pool(section, budget);
        if self.pools.insert(name, PlannedPool { pool, boxes: boxes as u32 }).is_some() {
            self.report_duplicate(&section.name);
        }
        self.edits.extend(claims);
    }

    fn check_account_exists(&mut self, name: &Spanned<String>) {
        let account = name.as_ref().as_str();
        if !self.accounts.contains(account) && !self.fleet.accounts.contains_key(account) {
            self.report(name, FaultKind::UnknownAccount { name: account.into() });
        }
    }

    /// Adds an edit if the pool changes. Returns the pool as it will be.
    fn edit_pool(&mut self, section: &PoolSection, budget: Budget) -> Pool {
        let id: PoolId = section.name.as_ref().as_str().into();
        let current = self.fleet.pools.get(&id);
        let base = current.map_or(0, |current| current.version);
        let pool = Pool {
            account: section.account.as_ref().as_str().into(),
            shared_with: section
                .shared_with
                .iter()
                .map(|name| name.as_ref().as_str().into())
                .collect(),
            budget,
            objective: section.objective,
            drain_limit_s: section.drain_limit_s,
            maintenance_s: section.maintenance_s,
            boxes: current.map(|current| current.boxes.clone()).unwrap_or_default(),
            version: base,
        };
        if current != Some(&pool) {
            self.edits.push(Edit::Pool(id, base, pool.clone()));
        }
        pool
    }

    fn check_budget(&mut self, section: &PoolSection, boxes: u32) -> Budget {
        let max_out = *section.max_out.as_ref();
        // An empty pool may have any budget: an intent adds its boxes later.
        if boxes > 0 && (max_out < 1 || max_out >= boxes) {
            self.report(&section.max_out, FaultKind::Budget { max_out, boxes });
        }
        let areas = [
            ("max_out_per_hall", &section.max_out_per_hall),
            ("max_out_per_rack", &section.max_out_per_rack),
        ];
        for (key, limit) in areas {
            if let Some(limit) = limit {
                self.check_range(key, limit, 1, max_out.max(1));
            }
        }
        let value = |limit: &Option<Spanned<u32>>| limit.as_ref().map(|limit| *limit.as_ref());
        Budget {
            max_out,
            max_out_per_hall: value(&section.max_out_per_hall),
            max_out_per_rack: value(&section.max_out_per_rack),
        }
    }

    /// Returns the claims of the listed boxes that are in no pool yet.
    fn compile_claims(&mut self, section: &'a PoolSection) -> Vec<Edit> {
        let pool = section.name.as_ref().as_str();
        let mut claims = Vec::new();
        for target in &section.boxes {
            let name = target.as_ref().as_str();
            if let Some(first) = self.claims.insert(name, pool) {
                let kind = FaultKind::ClaimedTwice { name: name.into(), first: first.into() };
                self.report(target, kind);
                continue;
            }
            match self.fleet.boxes.get(name) {
                Some(entry) if entry.pool.as_ref() == pool => continue,
                Some(_) => {
                    self.report(target, FaultKind::BoxTaken { name: name.into() });
                    continue;
                }
                None => {}
            }
            let Some(shape) = self.shapes.get(name) else {
                self.report(target, FaultKind::UnknownBox { name: name.into() });
                continue;
            };
            claims.push(Edit::Claim(name.into(), pool.into(), shape.clone()));
        }
        claims
    }

    fn check_service(&mut self, section: &ServiceSection) {
        self.check_name(&section.name);
        self.check_range("slots", &section.slots, 1, MAX_SLOTS);
        let account = section.account.as_ref().as_str();
        let exists = self.accounts.contains(account) || self.fleet.accounts.contains_key(account);
        if !exists || !self.scope.includes(account) {
            let kind = FaultKind::UnknownAccount { name: account.into() };
            self.report(&section.account, kind);
            return;
        }
        let pool = section.pool.as_ref().as_str();
        let Some((boxes, max_out)) = self.pool_size(pool, account) else {
            self.report(&section.pool, FaultKind::UnknownPool { name: pool.into() });
            return;
        };
        let min_up = section.min_up.as_ref().map_or(0, |min_up| *min_up.as_ref());
        let kept = boxes.saturating_sub(max_out);
        if let Some(at) = &section.min_up
            && min_up > kept
        {
            self.report(at, FaultKind::MinUp { min_up, pool: pool.into(), kept });
        }
        self.edit_service(section, min_up);
    }

    /// Number of boxes and `max_out` that a pool will have; `None` if there is no such pool or
    /// `account` may not place services on it.
    fn pool_size(&self, pool: &str, account: &str) -> Option<(u32, u32)> {
        let (pool, boxes) = match self.pools.get(pool) {
            Some(planned) => (&planned.pool, planned.boxes),
            None => {
                let pool = self.fleet.pools.get(pool)?;
                (pool, pool.boxes.len() as u32)
            }
        };
        pool.is_open_to(account).then_some((boxes, pool.budget.max_out))
    }

    fn edit_service(&mut self, section: &ServiceSection, min_up: u32) {
        let account: Arc<str> = section.account.as_ref().as_str().into();
        let id: Arc<str> = section.name.as_ref().as_str().into();
        let current = self.fleet.services.get(&(account.clone(), id.clone()));
        let base = current.map_or(0, |current| current.version);
        let service = Service {
            pool: section.pool.as_ref().as_str().into(),
            slots: *section.slots.as_ref(),
            memory_mb: section.memory_mb,
            min_up,
            placed: current.map(|current| current.placed.clone()).unwrap_or_default(),
            starting: current.map(|current| current.starting.clone()).unwrap_or_default(),
            version: base,
        };
        if current != Some(&service) {
            self.edits.push(Edit::Service(account, id, base, service));
        }
    }
}
