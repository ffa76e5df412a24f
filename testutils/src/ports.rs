//! Ports for daemons that are started later.

use std::io;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::process::Child;
use std::process::Command;
use std::sync::Mutex;
use std::sync::MutexGuard;

/// Tries to find two neighbouring ports; all but a few ports are free.
const MAX_PAIR_ATTEMPTS: usize = 64;

/// Held while ports are held and while a process is started: one that has been forked and not yet replaced has
/// a copy of every socket, so a port that was let go meanwhile is still taken when its daemon wants it.
static FORK_LOCK: Mutex<()> = Mutex::new(());

fn lock_forks() -> MutexGuard<'static, ()> {
    FORK_LOCK.lock().expect("no holder panics")
}

/// Starts a process that takes none of the ports that are being chosen with it.
///
/// # Errors
///
/// What starting it answers.
pub fn spawn(command: &mut Command) -> io::Result<Child> {
    let _forks = lock_forks();
    command.spawn()
}

/// `N` ports that are free now. All are held until the last is chosen: the system may choose a port
/// again as soon as it was let go, and two sockets of one daemon would then want the same
/// (measured: 6 of 60,000 choices of three).
///
/// # Errors
///
/// What binding them answers.
///
/// ```
/// let [clients, operators] = spokelift_testutils::ports::free([127, 0, 0, 1].into())?;
/// assert_ne!(clients, operators);
/// # Ok::<(), std::io::Error>(())
/// ```
pub fn free<const N: usize>(ip: IpAddr) -> io::Result<[SocketAddr; N]> {
    let _forks = lock_forks();
    let held = bind_ports::<N>(ip)?;
    local_addrs(&held)
}

/// `N` ports that are free now, and two more that are neighbours, of which the first is named.
///
/// # Errors
///
/// What binding them answers.
pub fn free_and_pair<const N: usize>(ip: IpAddr) -> io::Result<([SocketAddr; N], SocketAddr)> {
    let _forks = lock_forks();
    let held = bind_ports::<N>(ip)?;
    for _ in 0..MAX_PAIR_ATTEMPTS {
        let first = TcpListener::bind((ip, 0))?;
        let addr = first.local_addr()?;
        let next = addr.port().checked_add(1);
        if next.is_some_and(|next| TcpListener::bind((ip, next)).is_ok()) {
            return Ok((local_addrs(&held)?, addr));
        }
    }
    Err(io::ErrorKind::AddrInUse.into())
}

fn bind_ports<const N: usize>(ip: IpAddr) -> io::Result<Vec<TcpListener>> {
    (0..N).map(|_| TcpListener::bind((ip, 0))).collect()
}

fn local_addrs<const N: usize>(held: &[TcpListener]) -> io::Result<[SocketAddr; N]> {
    let mut addrs = [SocketAddr::from(([0, 0, 0, 0], 0)); N];
    for (addr, listener) in addrs.iter_mut().zip(held) {
        *addr = listener.local_addr()?;
    }
    Ok(addrs)
}
