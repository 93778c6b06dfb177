use {
    super::FrontContext,
    pitchhitch_http1::{answer_small, SmallServer},
    std::{net::SocketAddr, rc::Rc},
};

/// What the front says to a path: status and body.
pub(crate) type SmallAnswer = fn(&FrontContext, &str) -> (u16, Vec<u8>);

/// Answers small questions, such as whether the process is ready.
///
/// # Errors
/// When the address cannot be bound.
pub(crate) async fn serve_small(
    front: Rc<FrontContext>,
    address: SocketAddr,
    answer: SmallAnswer,
) -> std::io::Result<()> {
    let server = SmallServer::bind(address).await?;
    let context = front.clone();
    front.spawn(async move {
        loop {
            let link = server.next().await;
            let asked = context.clone();
            context.spawn(async move {
                answer_small(link, |target| answer(&asked, target)).await;
            });
        }
    });
    Ok(())
}
