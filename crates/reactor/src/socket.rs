//! Sockets.

use crate::{Source, Way, REACTOR};
use rustix::fd::{AsFd, BorrowedFd, OwnedFd};
use rustix::io::Errno;
use rustix::net::{
    bind, connect, ipproto, recvmsg, sendmsg, socket_with, AddressFamily, RecvAncillaryBuffer,
    RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer, SendAncillaryMessage, SendFlags,
    SocketFlags, SocketType,
};
use std::future::poll_fn;
use std::io::{self, ErrorKind, IoSlice, IoSliceMut, Read, Write};
use std::marker::PhantomData;
use std::mem::MaybeUninit;
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::os::unix::net::{UnixListener, UnixStream};
use std::rc::Rc;

/// A socket that tasks of this thread wait on. One task may read while one writes.
#[derive(Debug)]
pub struct Async<T: AsFd> {
    io: T,
    key: usize,
    /// The reactor is this thread's.
    here: PhantomData<Rc<()>>,
}

impl<T: AsFd> Async<T> {
    /// Registers a socket that does not block. It is taken to be writable until a write says that
    /// it isn't.
    fn register(io: T, writable: bool) -> io::Result<Async<T>> {
        let source = Source {
            ready: [false, writable],
            ..Source::default()
        };
        let key = REACTOR.with(|r| r.add(&io, source))?;
        Ok(Async {
            io,
            key,
            here: PhantomData,
        })
    }

    /// The socket itself. It does not block.
    pub fn get_ref(&self) -> &T {
        &self.io
    }

    async fn ready(&self, way: Way) {
        poll_fn(|context| REACTOR.with(|r| r.poll_ready(self.key, way, context.waker()))).await;
    }

    /// Does something that may say that it would block, until it doesn't.
    async fn attempt<R>(
        &self,
        way: Way,
        mut call: impl FnMut(&T) -> io::Result<R>,
    ) -> io::Result<R> {
        loop {
            self.ready(way).await;
            match call(&self.io) {
                Err(e) if e.kind() == ErrorKind::WouldBlock => self.not_ready(way),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                done => return done,
            }
        }
    }

    fn not_ready(&self, way: Way) {
        REACTOR.with(|r| {
            r.not_ready(self.key, way);
            if way == Way::In {
                // A read that would block behind an end: not to be expected, and no reason to spin.
                r.sources.borrow_mut()[self.key].ended = false;
            }
        });
    }
}

impl<T: AsFd> Async<T>
where
    for<'a> &'a T: Read + Write,
{
    /// Bytes read; none at the end of the stream. The system is asked once it has said that there
    /// is something.
    pub async fn read(&self, bytes: &mut [u8]) -> io::Result<usize> {
        let read = self.attempt(Way::In, |mut io| io.read(bytes)).await?;
        if read < bytes.len() {
            // All that there was, as epoll(7) has it for streams; the next edge says when there is
            // more. An end that came with the bytes has no further edge, and is there to be read.
            REACTOR.with(|r| r.not_ready(self.key, Way::In));
        }
        Ok(read)
    }

    /// Writes some of the bytes; how many.
    pub async fn write(&self, bytes: &[u8]) -> io::Result<usize> {
        self.attempt(Way::Out, |mut io| io.write(bytes)).await
    }

    /// Writes all of the bytes.
    pub async fn write_all(&self, mut bytes: &[u8]) -> io::Result<()> {
        while !bytes.is_empty() {
            match self.write(bytes).await? {
                0 => return Err(ErrorKind::WriteZero.into()),
                written => bytes = &bytes[written..],
            }
        }
        Ok(())
    }
}

impl Async<TcpStream> {
    /// Takes over a stream.
    pub fn new(stream: TcpStream) -> io::Result<Async<TcpStream>> {
        stream.set_nonblocking(true)?;
        Async::register(stream, true)
    }

    /// Connects.
    pub async fn connect(to: SocketAddr) -> io::Result<Async<TcpStream>> {
        Async::<TcpStream>::connect_from(None, to).await
    }

    /// Connects from this address of the machine, if one is given.
    pub async fn connect_from(
        from: Option<IpAddr>,
        to: SocketAddr,
    ) -> io::Result<Async<TcpStream>> {
        let family = if to.is_ipv4() {
            AddressFamily::INET
        } else {
            AddressFamily::INET6
        };
        let flags = SocketFlags::NONBLOCK | SocketFlags::CLOEXEC;
        let socket = socket_with(family, SocketType::STREAM, flags, Some(ipproto::TCP))?;
        if let Some(from) = from {
            bind(&socket, &SocketAddr::new(from, 0))?;
        }
        match connect(&socket, &to) {
            Ok(()) | Err(Errno::INPROGRESS) => {}
            Err(error) => return Err(error.into()),
        }
        let stream = Async::register(TcpStream::from(socket), false)?;
        stream.ready(Way::Out).await;
        match stream.io.take_error()? {
            Some(error) => Err(error),
            None => Ok(stream),
        }
    }
}

impl Async<TcpListener> {
    /// Listens.
    pub fn bind(at: SocketAddr) -> io::Result<Async<TcpListener>> {
        Async::<TcpListener>::new(TcpListener::bind(at)?)
    }

    /// Takes over a socket that listens.
    pub fn new(listener: TcpListener) -> io::Result<Async<TcpListener>> {
        listener.set_nonblocking(true)?;
        Async::register(listener, false)
    }

    /// The next connection, which does not block either way only once it is taken over.
    pub async fn accept(&self) -> io::Result<(TcpStream, SocketAddr)> {
        self.attempt(Way::In, |listener| listener.accept()).await
    }
}

impl Async<UdpSocket> {
    /// Hears datagrams there.
    pub fn bind(at: SocketAddr) -> io::Result<Async<UdpSocket>> {
        Async::<UdpSocket>::new(UdpSocket::bind(at)?)
    }

    /// Takes over a socket.
    pub fn new(socket: UdpSocket) -> io::Result<Async<UdpSocket>> {
        socket.set_nonblocking(true)?;
        Async::register(socket, true)
    }

    /// The next datagram: its bytes, of which those that find no room are lost, and who sent it.
    pub async fn receive(&self, bytes: &mut [u8]) -> io::Result<(usize, SocketAddr)> {
        self.attempt(Way::In, |socket| socket.recv_from(bytes))
            .await
    }
}

/// The most descriptors that one message carries.
const MOST_PASSED: usize = 8;

impl Async<UnixStream> {
    /// Takes over a stream.
    pub fn new(stream: UnixStream) -> io::Result<Async<UnixStream>> {
        stream.set_nonblocking(true)?;
        Async::register(stream, true)
    }

    /// Writes some of the bytes, and passes these descriptors along with the first of them; how
    /// many bytes.
    pub async fn send_with(&self, bytes: &[u8], passed: &[BorrowedFd<'_>]) -> io::Result<usize> {
        if passed.len() > MOST_PASSED {
            return Err(ErrorKind::InvalidInput.into());
        }
        self.attempt(Way::Out, |stream| {
            let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MOST_PASSED))];
            let mut control = SendAncillaryBuffer::new(&mut space);
            if !control.push(SendAncillaryMessage::ScmRights(passed)) {
                return Err(ErrorKind::InvalidInput.into());
            }
            Ok(sendmsg(
                stream,
                &[IoSlice::new(bytes)],
                &mut control,
                SendFlags::NOSIGNAL,
            )?)
        })
        .await
    }

    /// Bytes read, none at the end of the stream, and the descriptors that came along with them.
    pub async fn receive_with(
        &self,
        bytes: &mut [u8],
        passed: &mut Vec<OwnedFd>,
    ) -> io::Result<usize> {
        self.attempt(Way::In, |stream| {
            let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MOST_PASSED))];
            let mut control = RecvAncillaryBuffer::new(&mut space);
            let flags = RecvFlags::CMSG_CLOEXEC;
            let received = recvmsg(stream, &mut [IoSliceMut::new(bytes)], &mut control, flags)?;
            for message in control.drain() {
                if let RecvAncillaryMessage::ScmRights(descriptors) = message {
                    passed.extend(descriptors);
                }
            }
            Ok(received.bytes)
        })
        .await
    }
}

impl Async<UnixListener> {
    /// Takes over a socket that listens.
    pub fn new(listener: UnixListener) -> io::Result<Async<UnixListener>> {
        listener.set_nonblocking(true)?;
        Async::register(listener, false)
    }

    /// The next connection.
    pub async fn accept(&self) -> io::Result<UnixStream> {
        self.attempt(Way::In, |listener| listener.accept())
            .await
            .map(|(stream, _)| stream)
    }
}

impl<T: AsFd> Drop for Async<T> {
    fn drop(&mut self) {
        // At the end of its thread the reactor may be gone already, and its descriptor with it.
        let _ = REACTOR.try_with(|r| r.remove(self.key, &self.io));
    }
}
