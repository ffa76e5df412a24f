//! Daemons that run inside the test's own process, each on a runtime of its own.

use std::io;
use std::thread::JoinHandle;

use spokelift_lib::daemon;
use spokelift_lib::daemon::Addrs;
use spokelift_lib::daemon::Sockets;
use spokelift_lib::settings::Settings;
use tokio::runtime::Builder;
use tokio::runtime::Runtime;
use tokio::sync::oneshot;
use tokio::sync::watch;

/// A daemon on its own runtime. Dropped, it ends like one that is killed.
pub struct Daemon {
    /// Where it listens.
    pub addrs: Addrs,
    runtime: Option<Runtime>,
    stop: watch::Sender<bool>,
    stopped: Option<oneshot::Receiver<()>>,
}

impl Daemon {
    /// Starts a daemon. Must not be called on a runtime's own thread.
    pub fn start(settings: Settings) -> io::Result<Daemon> {
        let name = format!("entry-{}", settings.id);
        let runtime =
            Builder::new_multi_thread().worker_threads(1).thread_name(name).enable_all().build()?;
        let sockets = runtime.block_on(Sockets::bind(&settings)).map_err(io::Error::other)?;
        let addrs = sockets.addrs()?;
        let (stop, stopping) = watch::channel(false);
        let (done, stopped) = oneshot::channel();
        runtime.spawn(async move {
            let ended = daemon::run(settings, sockets, stopping).await;
            if ended.is_ok() {
                let _ = done.send(());
            }
        });
        Ok(Daemon { addrs, runtime: Some(runtime), stop, stopped: Some(stopped) })
    }

    /// Ends the daemon at once: its tasks stop where they are and its sockets close.
    pub fn kill(mut self) -> JoinHandle<()> {
        let runtime = self.runtime.take().expect("only kill and stop take the runtime");
        // A runtime waits for its threads when dropped, which must not be done on another one.
        std::thread::spawn(move || drop(runtime))
    }

    /// Tells the daemon to stop and waits until it has.
    pub async fn stop(mut self) {
        let _ = self.stop.send(true);
        if let Some(stopped) = self.stopped.take() {
            let _ = stopped.await;
        }
        let _ = tokio::task::spawn_blocking(move || drop(self.kill())).await;
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}
