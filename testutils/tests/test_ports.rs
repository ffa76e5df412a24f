//! The ports chosen for one daemon differ from each other.

use std::collections::BTreeSet;
use std::net::IpAddr;
use std::net::Ipv4Addr;

use spokelift_testutils::ports;

/// Number of choices. Ports chosen one by one, each released before the next, coincided in 6 of
/// 60,000 choices of three.
const CHOICES: u32 = 60_000;
/// Number of choices on one address, so that ports in use by other processes do not matter.
const CHOICES_PER_ADDRESS: u32 = 250;

fn address(choice: u32) -> IpAddr {
    let [.., high, low] = (choice / CHOICES_PER_ADDRESS).to_be_bytes();
    IpAddr::V4(Ipv4Addr::new(127, 3 + high, low, 1))
}

#[test]
fn free_ports_and_pair_differ() {
    for choice in 0..CHOICES {
        let (chosen, first) = ports::free_and_pair::<2>(address(choice)).unwrap();
        let mut all: BTreeSet<u16> = chosen.iter().map(|addr| addr.port()).collect();
        all.extend([first.port(), first.port() + 1]);
        assert_eq!(all.len(), 4, "{chosen:?} and {first}");
    }
}

#[test]
fn free_ports_differ() {
    for choice in 0..CHOICES {
        let chosen = ports::free::<3>(address(choice)).unwrap();
        let all: BTreeSet<u16> = chosen.iter().map(|addr| addr.port()).collect();
        assert_eq!(all.len(), 3, "{chosen:?}");
    }
}
