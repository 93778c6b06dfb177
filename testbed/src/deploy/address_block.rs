use std::{
    io,
    net::{IpAddr, UdpSocket},
    process,
    sync::{Mutex, PoisonError},
};

/// Port that a process binds at the first address of each block it uses; nothing else listens there.
pub const CLAIM_PORT: u16 = 7_600;
/// Addresses handed out of a block.
const BLOCK_ADDRESSES: u8 = 250;
const BLOCKS: u32 = 50_000;

static ADDRESS_BLOCK: Mutex<Option<AddressBlock>> = Mutex::new(None);

/// A block `127.a.b.*` of loopback addresses that belongs to this process.
#[derive(Debug)]
struct AddressBlock {
    number: u32,
    used: u8,
    /// Sockets that keep this block and earlier ones from other processes, until this one ends.
    claims: Vec<UdpSocket>,
}

impl AddressBlock {
    /// Claims the first block from `number` on that no process has, in place of this one.
    fn advance(
        &mut self,
        number: u32,
    ) -> io::Result<()> {
        for candidate in (0..BLOCKS).map(|offset| number.wrapping_add(offset) % BLOCKS) {
            match UdpSocket::bind((block_address(candidate, 0), CLAIM_PORT)) {
                Ok(socket) => {
                    self.claims.push(socket);
                    (self.number, self.used) = (candidate, 0);
                    return Ok(());
                }
                Err(error) if error.kind() == io::ErrorKind::AddrInUse => {}
                Err(error) => return Err(error),
            }
        }
        Err(io::ErrorKind::AddrNotAvailable.into())
    }
}

fn block_address(
    number: u32,
    last: u8,
) -> IpAddr {
    let (second, third) = (10 + number / 250, number % 250);
    IpAddr::from([127, second as u8, third as u8, last])
}

/// A loopback address that this process has not used, and that no other one uses that takes its
/// addresses here: a port that was found free there stays free until a program is given it.
///
/// # Errors
/// When no socket can be bound.
pub fn unique_address() -> io::Result<IpAddr> {
    let mut guard = ADDRESS_BLOCK.lock().unwrap_or_else(PoisonError::into_inner);
    let block = guard.get_or_insert_with(|| AddressBlock {
        number: process::id(),
        used: BLOCK_ADDRESSES,
        claims: Vec::new(),
    });
    if block.used == BLOCK_ADDRESSES {
        block.advance(block.number)?;
    }
    block.used += 1;
    Ok(block_address(block.number, block.used))
}
