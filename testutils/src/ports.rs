//! Choice of free ports for daemons that are started later.

use std::io;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::ops::Range;
use std::process::Child;
use std::process::Command;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

/// Attempts to find two neighbouring free ports; all but a few ports are free.
const MAX_PAIR_ATTEMPTS: usize = 64;

/// The last bytes of the loopback addresses of a test process. All have three digits, so that the
/// addresses are equally long as text. Further users reuse them.
const LAST_BYTES: Range<u32> = 100..250;
/// Number of loopback addresses that this process has used so far, with repetitions.
static ADDRESSES_USED: AtomicU32 = AtomicU32::new(0);

/// Held while ports are bound and while a process is spawned. A process has a copy of every open
/// socket between fork and exec, so a port released in that time would still be in use when its
/// daemon binds it.
static FORK_LOCK: Mutex<()> = Mutex::new(());

fn lock_forks() -> MutexGuard<'static, ()> {
    FORK_LOCK.lock().expect("no thread panics while it holds the lock")
}

/// Spawns a process that cannot inherit a socket on a port that is being chosen.
///
/// # Errors
///
/// Any error of spawning the process.
pub fn spawn(command: &mut Command) -> io::Result<Child> {
    let _guard = lock_forks();
    command.spawn()
}

/// `N` ports that are free now. All are bound until the last is chosen: the system may choose a
/// port again as soon as it is released, and two sockets of one daemon would then get the same (6
/// of 60,000 choices of three).
///
/// # Errors
///
/// Any error of binding the ports.
///
/// ```
/// let [clients, operators] = spokelift_testutils::ports::free([127, 0, 0, 1].into())?;
/// assert_ne!(clients, operators);
/// # Ok::<(), std::io::Error>(())
/// ```
pub fn free<const N: usize>(ip: IpAddr) -> io::Result<[SocketAddr; N]> {
    let _guard = lock_forks();
    let listeners = bind_ports::<N>(ip)?;
    local_addrs(&listeners)
}

/// `N` ports that are free now, and two more that are neighbours, of which the first is returned.
///
/// # Errors
///
/// Any error of binding the ports.
pub fn free_and_pair<const N: usize>(ip: IpAddr) -> io::Result<([SocketAddr; N], SocketAddr)> {
    let _guard = lock_forks();
    let listeners = bind_ports::<N>(ip)?;
    for _ in 0..MAX_PAIR_ATTEMPTS {
        let first = TcpListener::bind((ip, 0))?;
        let addr = first.local_addr()?;
        let next = addr.port().checked_add(1);
        if next.is_some_and(|next| TcpListener::bind((ip, next)).is_ok()) {
            return Ok((local_addrs(&listeners)?, addr));
        }
    }
    Err(io::ErrorKind::AddrInUse.into())
}

fn bind_ports<const N: usize>(ip: IpAddr) -> io::Result<Vec<TcpListener>> {
    (0..N).map(|_| TcpListener::bind((ip, 0))).collect()
}

fn local_addrs<const N: usize>(listeners: &[TcpListener]) -> io::Result<[SocketAddr; N]> {
    let mut addrs = [SocketAddr::from(([0, 0, 0, 0], 0)); N];
    for (addr, listener) in addrs.iter_mut().zip(listeners) {
        *addr = listener.local_addr()?;
    }
    Ok(addrs)
}

/// A loopback address that no other running test process uses, so that a port that was found free
/// on it stays free. Addresses repeat after a while, when the daemons that had them have exited.
pub fn unused_loopback_addr() -> IpAddr {
    let number = ADDRESSES_USED.fetch_add(1, Ordering::Relaxed);
    let [.., high, low] = std::process::id().to_be_bytes();
    let last = LAST_BYTES.start + number % (LAST_BYTES.end - LAST_BYTES.start);
    IpAddr::V4(Ipv4Addr::new(127, high.max(1), low, last as u8))
}
