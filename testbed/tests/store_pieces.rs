//! Pieces on a store box: only complete, sealed and undamaged ones can be read.

use {
    futures_lite::AsyncWriteExt,
    pitchhitch_agent::transfers::piece_checksum,
    pitchhitch_core::kv_cache::{PieceKey, StoreTier},
    pitchhitch_services::stores::{StoreClient, StoreError, CHECKSUM_HEADER},
    pitchhitch_testbed::fakes::{StoreBox, StoreBoxShape},
    smol::{block_on, net::TcpStream},
    std::time::Duration,
};

const KEY: PieceKey = PieceKey(7);

fn client(store: &StoreBox) -> StoreClient {
    StoreClient::new(store.address, Duration::from_secs(5))
}

fn checksum(bytes: &[u8]) -> String {
    piece_checksum(KEY, bytes)
}

async fn put(
    store: &StoreBox,
    bytes: &[u8],
) -> Result<u64, StoreError> {
    client(store)
        .put(KEY, StoreTier::Memory, bytes.to_vec(), checksum(bytes))
        .await
}

#[test]
fn sealed_piece_read() {
    block_on(async {
        let store = StoreBox::start(StoreBoxShape::default()).expect("store");
        let generation = put(&store, b"state").await.expect("sealed");
        let piece = client(&store)
            .get(KEY, generation, checksum)
            .await
            .expect("read");
        assert_eq!(piece.bytes, b"state");
    });
}

#[test]
fn other_generation_missing() {
    block_on(async {
        let store = StoreBox::start(StoreBoxShape::default()).expect("store");
        let first = put(&store, b"one").await.expect("sealed");
        let second = put(&store, b"two").await.expect("sealed again");
        assert!(second > first);
        assert_eq!(
            client(&store).get(KEY, first, checksum).await,
            Err(StoreError::Missing)
        );
        client(&store)
            .delete_piece(KEY, second)
            .await
            .expect("deleted");
        assert_eq!(
            client(&store).get(KEY, second, checksum).await,
            Err(StoreError::Missing)
        );
    });
}

#[test]
fn damaged_piece_refused() {
    block_on(async {
        let store = StoreBox::start(StoreBoxShape::default()).expect("store");
        let generation = put(&store, b"state").await.expect("sealed");
        store.corrupt(KEY);
        let read = client(&store).get(KEY, generation, checksum).await;
        assert!(matches!(read, Err(StoreError::Damaged { .. })), "{read:?}");
    });
}

#[test]
fn another_pieces_bytes_refused() {
    block_on(async {
        let store = StoreBox::start(StoreBoxShape::default()).expect("store");
        let generation = put(&store, b"state").await.expect("sealed");
        let other = |bytes: &[u8]| piece_checksum(PieceKey(8), bytes);
        let read = client(&store).get(KEY, generation, other).await;
        assert!(matches!(read, Err(StoreError::Damaged { .. })), "{read:?}");
    });
}

#[test]
fn torn_write_not_offered() {
    block_on(async {
        let store = StoreBox::start(StoreBoxShape::default()).expect("store");
        let mut stream = TcpStream::connect(store.address).await.expect("stream");
        let head = format!(
            "PUT /pieces/{KEY}?tier=memory HTTP/1.1\r\nhost: store\r\ncontent-length: 1000\r\n\
             {CHECKSUM_HEADER}: {}\r\n\r\n",
            checksum(&[1; 1000])
        );
        stream.write_all(head.as_bytes()).await.expect("head");
        stream.write_all(&[1; 400]).await.expect("part");
        drop(stream);
        // The complete write afterwards ensures that the box has processed the torn one.
        let generation = put(&store, b"whole").await.expect("sealed");
        let content = client(&store).list().await.expect("list");
        assert_eq!(content.pieces.len(), 1);
        assert_eq!(content.pieces[0].length, 5);
        assert!(client(&store).get(KEY, generation, checksum).await.is_ok());
    });
}

#[test]
fn full_box_says_so() {
    block_on(async {
        let shape = StoreBoxShape {
            capacity_bytes: 4,
            ..StoreBoxShape::default()
        };
        let store = StoreBox::start(shape).expect("store");
        assert_eq!(put(&store, b"state").await, Err(StoreError::Full));
        assert_eq!(store.piece_count(), 0);
    });
}
