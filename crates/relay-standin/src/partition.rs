//! Network partitions between a listening port and some of its senders.
//!
//! The kernel drops the packets of the senders, by a filter on the sockets, as a network
//! partition does: connections to the port hang, and open ones fall silent. Other senders
//! notice nothing. Senders are told apart by their addresses.

use std::io;
use std::net::{IpAddr, Shutdown, TcpListener};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use smol::Async;
use socket2::{SockFilter, SockRef};
use tidepier_h1::WeakSocket;

/// `ld [k]`: load a word of the packet.
const LOAD_WORD: u16 = 0x20;
/// `jeq k`: compare the loaded word.
const JUMP_EQUAL: u16 = 0x15;
/// `ret k`: keep this many bytes of the packet.
const RETURN: u16 = 0x06;
/// Position of the source address in the IPv4 header, relative to the network layer.
const SOURCE_ADDRESS: u32 = 0u32.wrapping_sub(0x10_0000) + 12;

/// What a partition does to the connections of a sender.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cut {
    /// Open connections fall silent, and new ones hang.
    Silent,
    /// Open connections are reset, and new ones hang.
    Reset,
    /// Open connections live on, and new ones hang.
    New,
}

#[derive(Debug, Default)]
struct State {
    listener: Option<Arc<Async<TcpListener>>>,
    cuts: Vec<(IpAddr, Cut)>,
    open: Vec<(IpAddr, WeakSocket)>,
}

/// The partitions of one listening port.
#[derive(Debug, Default)]
pub struct Partitions(Mutex<State>);

impl Partitions {
    /// Partitions a sender from the port.
    ///
    /// # Errors
    ///
    /// The filter of a socket cannot be set.
    pub fn cut(&self, sender: IpAddr, cut: Cut) -> io::Result<()> {
        let mut state = self.lock();
        state.cuts.retain(|(known, _)| *known != sender);
        state.cuts.push((sender, cut));
        if cut == Cut::Reset {
            let open = state.open.iter().filter(|(from, _)| *from == sender);
            for (_, socket) in open {
                socket.with(reset).transpose()?;
            }
        }
        state.apply()
    }

    /// Ends the partition of a sender.
    ///
    /// # Errors
    ///
    /// The filter of a socket cannot be set.
    pub fn heal(&self, sender: IpAddr) -> io::Result<()> {
        let mut state = self.lock();
        state.cuts.retain(|(known, _)| *known != sender);
        state.apply()
    }

    pub(crate) fn listen(&self, listener: Arc<Async<TcpListener>>) {
        self.lock().listener = Some(listener);
    }

    /// Lets go of the listening socket, so that the port closes.
    pub(crate) fn close(&self) {
        self.lock().listener = None;
    }

    pub(crate) fn accepted(&self, sender: IpAddr, socket: WeakSocket) {
        let mut state = self.lock();
        state.open.retain(|(_, open)| open.with(|_| ()).is_some());
        state.open.push((sender, socket));
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        let state = self.0.lock();
        state.unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

impl State {
    fn apply(&self) -> io::Result<()> {
        let senders = |of: &dyn Fn(Cut) -> bool| -> Vec<IpAddr> {
            let cuts = self.cuts.iter().filter(|(_, cut)| of(*cut));
            cuts.map(|(sender, _)| *sender).collect()
        };
        if let Some(listener) = &self.listener {
            set_dropped(&SockRef::from(listener.get_ref()), &senders(&|_| true))?;
        }
        let silent = senders(&|cut| cut != Cut::New);
        for (_, socket) in &self.open {
            let set = socket.with(|socket| set_dropped(&socket, &silent));
            set.transpose()?;
        }
        Ok(())
    }
}

/// Makes a socket drop all packets of these senders, and no others.
///
/// # Errors
///
/// The filter cannot be set.
pub fn set_dropped(socket: &SockRef<'_>, senders: &[IpAddr]) -> io::Result<()> {
    let words: Vec<u32> = senders
        .iter()
        .filter_map(|sender| match sender {
            IpAddr::V4(sender) => Some(u32::from(*sender)),
            IpAddr::V6(_) => None,
        })
        .collect();
    let count = u8::try_from(words.len()).map_err(io::Error::other)?;
    let compare = words.iter().zip(0..).map(|(word, index)| {
        // Jumps over the further comparisons and the instruction that accepts.
        SockFilter::new(JUMP_EQUAL, count - index, 0, *word)
    });
    let mut program = vec![SockFilter::new(LOAD_WORD, 0, 0, SOURCE_ADDRESS)];
    program.extend(compare);
    program.push(SockFilter::new(RETURN, 0, 0, u32::MAX));
    program.push(SockFilter::new(RETURN, 0, 0, 0));
    socket.attach_filter(&program)
}

/// Resets a connection once its task, which reads an end now, drops it.
fn reset(socket: SockRef<'_>) -> io::Result<()> {
    socket.set_linger(Some(Duration::ZERO))?;
    socket.shutdown(Shutdown::Read)
}
