//! Descriptions of two sites of production size.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;

use spokelift_lib::protocol::boxes::ListedBox;
use spokelift_lib::state::account::format_hash;
use spokelift_lib::state::account::hash_secret;

use crate::ledger;

/// Request slots of a box.
pub const SLOTS_PER_BOX: u32 = 8;
/// Memory of a box, in megabytes.
pub const MEMORY_MB: u32 = 128 * 1024;
/// Boxes in a rack.
pub const BOXES_PER_RACK: usize = 4;

/// A site: its boxes, pools and services.
#[derive(Clone, Debug)]
pub struct Site {
    /// Its name.
    pub name: &'static str,
    /// Its halls.
    pub halls: &'static [&'static str],
    /// The measure that plans minimise first, as the configuration names it.
    pub weigh: &'static str,
    /// Its pools.
    pub pools: &'static [Pool],
}

/// A pool of a site.
#[derive(Clone, Debug)]
pub struct Pool {
    /// Its name.
    pub name: &'static str,
    /// The account that owns it.
    pub account: &'static str,
    /// Number of boxes.
    pub boxes: usize,
    /// Largest number of boxes that may be out of service.
    pub max_out: usize,
    /// Its services, each with the slots that it has on a box.
    pub services: &'static [(&'static str, u32)],
}

/// Clinics of Ulaanbaatar: four halls, least buffer first.
pub const ULAANBAATAR: Site = Site {
    name: "ulaanbaatar",
    halls: &["hall-1", "hall-2", "hall-3", "hall-4"],
    weigh: "buffer",
    pools: &[
        Pool {
            name: "front",
            account: "clinics",
            boxes: 22,
            max_out: 4,
            services: &[("booking", 5), ("eligibility", 3)],
        },
        Pool {
            name: "outreach",
            account: "donors",
            boxes: 12,
            max_out: 2,
            services: &[("recall", 8)],
        },
        Pool {
            name: "supply",
            account: "hospitals",
            boxes: 16,
            max_out: 3,
            services: &[("stock-matching", 6), ("back-office", 2)],
        },
    ],
};

/// Refund counters of Dakar: three halls, shortest roll-out first.
pub const DAKAR: Site = Site {
    name: "dakar",
    halls: &["hall-1", "hall-2", "hall-3"],
    weigh: "rollout",
    pools: &[
        Pool {
            name: "counters",
            account: "shops",
            boxes: 22,
            max_out: 4,
            services: &[("refunds", 6), ("support", 2)],
        },
        Pool {
            name: "payouts",
            account: "payers",
            boxes: 14,
            max_out: 2,
            services: &[("payout", 8)],
        },
        Pool {
            name: "customs",
            account: "airport",
            boxes: 14,
            max_out: 3,
            services: &[("export-forms", 5), ("settlement", 3)],
        },
    ],
};

impl Site {
    /// The site of this name, if there is one.
    pub fn named(name: &str) -> Option<Site> {
        [ULAANBAATAR, DAKAR].into_iter().find(|site| site.name == name)
    }

    /// The number of boxes.
    pub fn size(&self) -> usize {
        self.pools.iter().map(|pool| pool.boxes).sum()
    }

    /// The box list; each box has its own address, with a port chosen when it starts.
    pub fn boxes(&self) -> Vec<ListedBox> {
        (0..self.size()).map(|index| self.listed(index)).collect()
    }

    /// Racks are assigned to the halls in turn, so that each pool has boxes in all halls.
    fn listed(&self, index: usize) -> ListedBox {
        let rack = index / BOXES_PER_RACK;
        let hall = self.halls[rack % self.halls.len()];
        let ip = Ipv4Addr::new(127, 1, (rack / 200) as u8, index as u8 + 1);
        ListedBox {
            name: box_name(index).into(),
            addr: SocketAddr::new(IpAddr::V4(ip), 0),
            hall: hall.into(),
            rack: format!("rack-{rack}").into(),
            slots: SLOTS_PER_BOX,
            memory_mb: MEMORY_MB,
            leaving: false,
        }
    }

    /// The configuration file that an operator would publish.
    pub fn config(&self) -> String {
        let mut text = String::new();
        for pool in self.pools {
            let caller = format_hash(&hash_secret(&caller_secret(pool.account)));
            let operator = format_hash(&hash_secret(&operator_secret(pool.account)));
            text += &format!(
                "[[account]]\nname = \"{}\"\ncaller_key_hashes = [\"{caller}\"]\n\
                 operator_key_hashes = [\"{operator}\"]\n\n",
                pool.account,
            );
        }
        let mut first = 0;
        for pool in self.pools {
            let boxes = (first..first + pool.boxes).map(|index| format!("{:?}", box_name(index)));
            let boxes: Vec<String> = boxes.collect();
            first += pool.boxes;
            text += &format!(
                "[[pool]]\nname = {:?}\naccount = {:?}\nmax_out = {}\nweigh = {:?}\n\
                 drain_limit_s = 15\nmaintenance_s = 2\nboxes = [{}]\n\n",
                pool.name,
                pool.account,
                pool.max_out,
                self.weigh,
                boxes.join(", "),
            );
            for (service, slots) in pool.services {
                text += &format!(
                    "[[service]]\nname = {service:?}\naccount = {:?}\npool = {:?}\n\
                     slots = {slots}\nmemory_mb = 8192\nmin_up = {}\n\n",
                    pool.account,
                    pool.name,
                    pool.boxes - pool.max_out - 2,
                );
            }
        }
        text
    }

    /// The pools whose budgets the ledger checks.
    pub fn ledger_pools(&self) -> Vec<ledger::Pool> {
        let pool = |pool: &Pool| ledger::Pool {
            name: pool.name.to_owned(),
            services: pool
                .services
                .iter()
                .map(|(service, _)| (pool.account.into(), (*service).into()))
                .collect(),
            max_out: pool.max_out,
        };
        self.pools.iter().map(pool).collect()
    }
}

/// The name of a box.
pub fn box_name(index: usize) -> String {
    format!("box-{index:03}")
}

/// The secret of an account's callers.
pub fn caller_secret(account: &str) -> String {
    format!("{account}-caller-secret")
}

/// The secret of an account's operators.
pub fn operator_secret(account: &str) -> String {
    format!("{account}-operator-secret")
}
