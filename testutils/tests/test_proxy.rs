//! Forwarding by the proxy when one side stops reading.

use spokelift_testutils::proxy::Proxy;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

/// Request size, far more than is buffered for a server that answers after the first bytes.
const REQUEST_BYTES: usize = 4 * 1024 * 1024;

#[tokio::test(flavor = "multi_thread")]
async fn forwards_the_answer_of_a_server_that_stops_reading() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let proxy = Proxy::start(listener.local_addr().unwrap()).await.unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut first = [0; 1024];
            stream.read_exact(&mut first).await.unwrap();
            stream.write_all(b"too large").await.unwrap();
            // Dropping the stream with unread bytes resets the connection.
        }
    });
    for round in 0..50 {
        let mut client = TcpStream::connect(proxy.addr).await.unwrap();
        let (mut read, mut write) = client.split();
        let send = async {
            // The proxy stops reading at some point.
            let _ = write.write_all(&vec![0; REQUEST_BYTES]).await;
            std::future::pending::<()>().await;
        };
        let mut answer = [0; 9];
        let answered = tokio::select! {
            read = read.read_exact(&mut answer) => read.is_ok(),
            () = send => false,
        };
        assert!(answered && &answer == b"too large", "round {round}");
    }
}
