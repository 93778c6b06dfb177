//! Endpoints of the own interface that answer without a length and without chunks.

use {
    pitchhitch_testbed::{
        deploy::{Deployment, DeploymentShape},
        replay::CallerClient,
    },
    smol::block_on,
    std::{
        io::{BufRead, BufReader, Write},
        net::{SocketAddr, TcpListener},
        thread,
    },
};

/// A body that would be decoded as the last chunk.
const BODY: &str = "0\r\n\r\n";

/// Starts a service whose health check has a length, while its answers end with their connection.
fn start_service() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            thread::spawn(move || {
                let lines = BufReader::new(stream.try_clone().expect("a socket")).lines();
                let head = lines
                    .map_while(Result::ok)
                    .take_while(|line| !line.is_empty());
                let head: Vec<String> = head.collect();
                let answer = match head.first().is_some_and(|line| line.contains("/healthz")) {
                    true => "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok".to_string(),
                    false => format!("HTTP/1.1 200 OK\r\n\r\n{BODY}"),
                };
                // The agent may have disconnected.
                let _ = stream.write_all(answer.as_bytes());
            });
        }
    });
    address
}

/// Guards against an unframed body that is decoded as chunks and delivered as a complete answer.
#[test]
fn unframed_answer_not_decoded() {
    block_on(async {
        let mut shape = DeploymentShape::tiny("unframed");
        shape.services = 0;
        let mut deployment = Deployment::for_test(shape).await;
        let address = start_service();
        deployment
            .add_external_service(0, address)
            .await
            .expect("a service");
        deployment.wait_ready().await.expect("settled");
        let url = deployment.url(0, "/orders/place");
        let key = deployment.first_key();
        let client = CallerClient::default();
        let answer = client
            .send_request("POST", &url, &key, &[], "order".to_string())
            .await;
        assert_eq!((answer.status, answer.ran.as_str()), (502, "unknown"));
    });
}
