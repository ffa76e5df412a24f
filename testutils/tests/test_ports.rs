//! Ports chosen for one daemon are never the same.

use std::collections::BTreeSet;
use std::net::IpAddr;
use std::net::Ipv4Addr;

use spokelift_testutils::ports;

/// Choices made; one by one, a choice of three held the same port twice 6 times in 60,000.
const CHOICES: u32 = 60_000;
/// Choices on one address, so that the ports of others do not matter.
const ON_ONE: u32 = 250;

fn address(choice: u32) -> IpAddr {
    let [.., high, low] = (choice / ON_ONE).to_be_bytes();
    IpAddr::V4(Ipv4Addr::new(127, 3 + high, low, 1))
}

#[test]
fn ports_of_one_daemon_differ() {
    for choice in 0..CHOICES {
        let (chosen, first) = ports::free_and_pair::<2>(address(choice)).unwrap();
        let mut all: BTreeSet<u16> = chosen.iter().map(|addr| addr.port()).collect();
        all.extend([first.port(), first.port() + 1]);
        assert_eq!(all.len(), 4, "{chosen:?} and {first}");
    }
}

#[test]
fn ports_chosen_together_differ() {
    for choice in 0..CHOICES {
        let chosen = ports::free::<3>(address(choice)).unwrap();
        let all: BTreeSet<u16> = chosen.iter().map(|addr| addr.port()).collect();
        assert_eq!(all.len(), 3, "{chosen:?}");
    }
}
