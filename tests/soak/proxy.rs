//! A loopback proxy before each process, at which its network fails.

use std::collections::BTreeSet;
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use socket2::SockRef;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// How often a held connection looks whether it may go on.
const LOOK: Duration = Duration::from_millis(10);

/// What is wrong with the network of a process now.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    /// Nothing arrives at the process.
    pub deaf: bool,
    /// Nothing of what the process answers leaves.
    pub mute: bool,
    /// Sources between which and the process nothing passes.
    pub cut_from: BTreeSet<IpAddr>,
    /// Time that each piece is late.
    pub delay: Duration,
}

/// Proxies of one process; they share its faults.
#[derive(Clone)]
pub struct Network {
    faults: Arc<Mutex<Faults>>,
    resets: watch::Sender<u64>,
    tasks: Arc<Mutex<Vec<JoinHandle<()>>>>,
}

#[derive(Clone, Copy, PartialEq)]
enum Way {
    In,
    Out,
}

impl Network {
    pub fn new() -> Self {
        Network { faults: Arc::default(), resets: watch::Sender::new(0), tasks: Arc::default() }
    }

    /// Lets `public` stand before `private`.
    pub async fn proxy(&self, public: SocketAddr, private: SocketAddr) {
        let listener = TcpListener::bind(public).await.expect("an own address");
        let network = self.clone();
        let task = tokio::spawn(async move {
            loop {
                if let Ok((client, source)) = listener.accept().await {
                    tokio::spawn(network.clone().join(client, source.ip(), private));
                }
            }
        });
        self.tasks.lock().expect("no panic").push(task);
    }

    pub fn change(&self, change: impl FnOnce(&mut Faults)) {
        change(&mut self.faults.lock().expect("no panic"));
    }

    /// Resets every connection.
    pub fn reset(&self) {
        self.resets.send_modify(|resets| *resets += 1);
    }

    pub fn stop(&self) {
        self.tasks.lock().expect("no panic").drain(..).for_each(|task| task.abort());
        self.reset();
    }

    async fn join(self, client: TcpStream, source: IpAddr, private: SocketAddr) {
        let mut resets = self.resets.subscribe();
        resets.mark_unchanged();
        self.wait(source, Way::In).await;
        let Ok(server) = connect_as(source, private).await else {
            abort(&client);
            return;
        };
        let _ = client.set_nodelay(true);
        let _ = server.set_nodelay(true);
        let (client, server) = (Arc::new(client), Arc::new(server));
        let inward = self.clone().pump(client.clone(), server.clone(), source, Way::In);
        let outward = self.clone().pump(server.clone(), client.clone(), source, Way::Out);
        let ended = tokio::select! {
            ended = async { tokio::join!(inward, outward) } => ended.0.and(ended.1),
            _ = resets.changed() => Err(std::io::ErrorKind::ConnectionReset.into()),
        };
        if ended.is_err() {
            abort(&client);
            abort(&server);
        }
    }

    async fn wait(&self, source: IpAddr, way: Way) {
        loop {
            let (held, delay) = {
                let faults = self.faults.lock().expect("no panic");
                let held = match way {
                    Way::In => faults.deaf,
                    Way::Out => faults.mute,
                };
                (held || faults.cut_from.contains(&source), faults.delay)
            };
            if !held {
                tokio::time::sleep(delay).await;
                return;
            }
            tokio::time::sleep(LOOK).await;
        }
    }

    /// Passes bytes on one way until their end, which is passed on too.
    async fn pump(
        self,
        from: Arc<TcpStream>,
        to: Arc<TcpStream>,
        source: IpAddr,
        way: Way,
    ) -> std::io::Result<()> {
        let mut buffer = vec![0; 16 * 1024];
        loop {
            let read = read(&from, &mut buffer).await;
            self.wait(source, way).await;
            match read? {
                0 => return SockRef::from(&*to).shutdown(std::net::Shutdown::Write),
                len => write_all(&to, &buffer[..len]).await?,
            }
        }
    }
}

/// Connects from the address of whoever connected here, so that the process behind sees who calls.
async fn connect_as(source: IpAddr, private: SocketAddr) -> std::io::Result<TcpStream> {
    let socket = TcpSocket::new_v4()?;
    socket.bind(SocketAddr::new(source, 0))?;
    socket.connect(private).await
}

async fn read(stream: &TcpStream, buffer: &mut [u8]) -> std::io::Result<usize> {
    loop {
        stream.readable().await?;
        match stream.try_read(buffer) {
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
            done => return done,
        }
    }
}

async fn write_all(stream: &TcpStream, mut bytes: &[u8]) -> std::io::Result<()> {
    while !bytes.is_empty() {
        stream.writable().await?;
        match stream.try_write(bytes) {
            Ok(len) => bytes = &bytes[len..],
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
            Err(error) => return Err(error),
        }
    }
    Ok(())
}

/// Makes a connection end by a reset.
fn abort(stream: &TcpStream) {
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}
