//! The outlook that a node knows of, and when it told clients to come back.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use crate::batch::outlook::Outlook;
use crate::batch::outlook::Service;
use crate::batch::outlook::Work;

/// Age from which an outlook decides nothing any more: four times the interval at which the leader
/// publishes it.
pub const MAX_AGE: Duration = Duration::from_millis(1_000);
/// Longest time for which a client is sent away; what is further off is not known.
const MAX_RETURN: Duration = Duration::from_secs(30);
/// How long a node that declined an outlook gets none: an older one ends the connection on each.
const DECLINED_FOR: Duration = Duration::from_secs(10);

/// The newest outlook that a node has received.
#[derive(Debug, Default)]
pub struct Known {
    /// The outlook, and when it was made at the latest by this node's clock.
    newest: Option<(Outlook, Instant)>,
    /// Until when the clients that were sent away keep each service busy.
    returns: BTreeMap<String, Instant>,
    /// Nodes that ended the connection on an outlook, and when.
    declined: HashMap<SocketAddr, Instant>,
}

impl Known {
    /// Keeps an outlook that was received now; `false` if it is not newer than the one known.
    ///
    /// ```
    /// use std::time::Instant;
    /// use spokelift_lib::batch::outlook::{Outlook, known::Known};
    /// let (mut known, now) = (Known::default(), Instant::now());
    /// let outlook = |leader, number| Outlook { leader, number, ..Outlook::default() };
    /// assert!(known.apply(outlook(4, 7), now));
    /// assert!(!known.apply(outlook(4, 7), now) && !known.apply(outlook(3, 9), now));
    /// assert!(known.apply(outlook(5, 1), now));
    /// ```
    pub fn apply(&mut self, outlook: Outlook, now: Instant) -> bool {
        let order = |outlook: &Outlook| (outlook.leader, outlook.number);
        if self.newest.as_ref().is_some_and(|(known, _)| order(known) >= order(&outlook)) {
            return false;
        }
        // An outlook whose age is beyond what this clock can express is older than any limit.
        let made_at = now.checked_sub(Duration::from_millis(outlook.age_ms));
        if let Some(made_at) = made_at {
            self.returns.retain(|service, _| outlook.services.contains_key(service));
            self.newest = Some((outlook, made_at));
        }
        made_at.is_some()
    }

    /// The newest outlook with its age; `None` if none has been received, or it is older than
    /// [`MAX_AGE`], or of another leader than the one of this incarnation.
    pub fn fresh(&self, leader: Option<u64>, now: Instant) -> Option<(&Outlook, Duration)> {
        let (outlook, made_at) = self.newest.as_ref()?;
        let age = now.saturating_duration_since(*made_at);
        let is_current = leader == Some(outlook.incarnation) && age <= MAX_AGE;
        is_current.then_some((outlook, age))
    }

    /// The newest outlook as it is sent now to another node, with its age; `None` if that node has
    /// declined one lately.
    pub fn to_send(&self, to: SocketAddr, now: Instant) -> Option<Outlook> {
        let declined_at = self.declined.get(&to);
        let lately = |at: &Instant| now.saturating_duration_since(*at) < DECLINED_FOR;
        let (outlook, made_at) =
            self.newest.as_ref().filter(|_| !declined_at.is_some_and(lately))?;
        let age_ms = now.saturating_duration_since(*made_at).as_millis() as u64;
        Some(Outlook { age_ms, ..outlook.clone() })
    }

    /// Records that a node declined an outlook.
    pub fn decline(&mut self, by: SocketAddr, now: Instant) {
        self.declined.insert(by, now);
    }

    /// When a client whose job has this work should come back, as a time from now. Each one that is
    /// sent away keeps the service busy after those before it, so that they return in the order in
    /// which they came, as fast as one of `nodes` nodes can let them in.
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// use spokelift_lib::batch::outlook::{Service, known::Known};
    /// let (mut known, now) = (Known::default(), Instant::now());
    /// let service = Service { capacity: 2_000, ..Service::default() };
    /// let mut next = || known.plan_return("work", &service, 1_000_000, Duration::from_secs(2), 4, now);
    /// assert_eq!([next(), next()], [Duration::from_secs(2), Duration::from_secs(4)]);
    /// ```
    pub fn plan_return(
        &mut self,
        name: &str,
        service: &Service,
        work: Work,
        until_served: Duration,
        nodes: usize,
        now: Instant,
    ) -> Duration {
        let first = now + until_served.min(MAX_RETURN);
        let busy_until = self.returns.entry(name.to_owned()).or_insert(first);
        let at = first.max(*busy_until).min(now + MAX_RETURN);
        let takes = service.time_for(work.saturating_mul(nodes as u64)).min(MAX_RETURN);
        *busy_until = at + takes;
        at - now
    }
}
