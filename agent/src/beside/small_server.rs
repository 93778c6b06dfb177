use {
    super::BesideContext,
    pitchhitch_http1::{answer_small, SmallServer},
    std::{net::SocketAddr, rc::Rc},
};

/// What the process says to a path: status and body.
pub(crate) type SmallAnswer = fn(&BesideContext, &str) -> (u16, Vec<u8>);

/// Answers small questions, such as those for metrics.
///
/// # Errors
/// When the address cannot be bound.
pub(crate) async fn serve_small(
    beside: Rc<BesideContext>,
    address: SocketAddr,
    answer: SmallAnswer,
) -> std::io::Result<()> {
    let server = SmallServer::bind(address).await?;
    let context = beside.clone();
    beside.spawn(async move {
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
