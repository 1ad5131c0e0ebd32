//! Edge-triggered readiness and timers, on real sockets.

use async_executor::LocalExecutor;
use futures_lite::future;
use pipitlever_reactor::{block_on, next_poll, Async, Timer};
use std::cell::{Cell, RefCell};
use std::future::{poll_fn, Future};
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Poll, Waker};
use std::time::{Duration, Instant};

fn after_ms(milliseconds: u64) -> Instant {
    Instant::now() + Duration::from_millis(milliseconds)
}

/// Runs a future and fails the test if it does not complete within 20 s.
fn run<T>(future: impl Future<Output = T>) -> T {
    let watchdog = async {
        Timer::at(after_ms(20_000)).await;
        panic!("the future did not complete within 20 s");
    };
    block_on(future::or(future, watchdog))
}

/// Both ends of a connection, the local one asynchronous.
fn connected_pair() -> (Async<TcpStream>, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let local = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    (
        Async::<TcpStream>::new(local).unwrap(),
        listener.accept().unwrap().0,
    )
}

/// A registered timer that has not fired. Repeated if the machine delayed the test beyond the
/// deadline.
async fn pending_timer(milliseconds: u64) -> Pin<Box<Timer>> {
    loop {
        let mut timer = Box::pin(Timer::at(after_ms(milliseconds)));
        if future::poll_once(&mut timer).await.is_none() {
            return timer;
        }
    }
}

#[test]
fn timers_fire_in_order_and_never_early() {
    let executor = Rc::new(LocalExecutor::new());
    let order = Rc::new(RefCell::new(Vec::new()));
    // Late enough that all timers are registered before the first one fires.
    let start = after_ms(200);
    let tasks: Vec<_> = [30, 10, 20, 10, 0]
        .map(|ms| {
            let order = order.clone();
            executor.spawn(async move {
                let deadline = start + Duration::from_millis(ms);
                assert_eq!(Timer::at(deadline).await, deadline);
                assert!(Instant::now() >= deadline);
                order.borrow_mut().push(ms);
            })
        })
        .into();
    run(executor.run(async {
        for task in tasks {
            task.await;
        }
    }));
    assert_eq!(*order.borrow(), [0, 10, 10, 20, 30]);
}

#[test]
fn a_dropped_timer_wakes_no_task() {
    let mut polls = 0;
    run(async {
        drop(pending_timer(5).await);
        let mut second = pending_timer(60).await;
        poll_fn(|context| {
            polls += 1;
            second.as_mut().poll(context).map(|_| ())
        })
        .await;
    });
    // One poll suffices if the second timer has fired before it is polled here; a third poll would
    // come from the dropped timer.
    assert!((1..=2).contains(&polls), "{polls}");
}

/// epoll's own time-out is rounded up to whole milliseconds: with it a timer of 3.3 ms would fire
/// at least 0.7 ms late.
#[test]
fn timers_are_accurate_to_less_than_a_millisecond() {
    let delays = (0..50).map(|_| {
        let deadline = Instant::now() + Duration::from_micros(3300);
        run(Timer::at(deadline));
        deadline.elapsed()
    });
    let least = delays.min().unwrap();
    assert!(least < Duration::from_micros(500), "{least:?}");
}

/// Regression: after a timer had been dropped, the reactor assumed that the timer descriptor was
/// still set for it, and never set the descriptor again.
#[test]
fn the_timer_descriptor_is_set_again_after_its_timer_was_dropped() {
    let (done_sender, done_receiver) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        let (local, mut peer) = connected_pair();
        block_on(async {
            let dropped = pending_timer(5).await;
            // The poller waits with the descriptor set for this timer and is woken by the socket.
            let writer = std::thread::spawn(move || {
                peer.write_all(b"x").unwrap();
                peer
            });
            local.read(&mut [0; 8]).await.unwrap();
            drop(dropped);
            let mut peer = writer.join().unwrap();
            std::thread::sleep(Duration::from_millis(10));
            peer.write_all(b"y").unwrap();
            local.read(&mut [0; 8]).await.unwrap();
            Timer::at(after_ms(5)).await;
        });
        done_sender.send(()).unwrap();
    });
    done_receiver
        .recv_timeout(Duration::from_secs(20))
        .expect("the timer fires");
}

/// The end of the stream is reported in the same event as the last bytes, and no edge follows.
#[test]
fn an_end_of_stream_reported_with_the_last_bytes_is_read() {
    for is_reader_waiting in [false, true] {
        let (local, mut peer) = connected_pair();
        let write_and_close = move || {
            peer.write_all(b"last bytes").unwrap();
            peer.shutdown(Shutdown::Write).unwrap();
            peer
        };
        let mut bytes = [0; 100];
        run(async {
            let open_peer = if is_reader_waiting {
                // The reader waits before the bytes arrive.
                let mut read = Box::pin(local.read(&mut bytes));
                assert!(future::poll_once(&mut read).await.is_none());
                let open_peer = write_and_close();
                assert_eq!(read.await.unwrap(), 10);
                open_peer
            } else {
                let open_peer = write_and_close();
                assert_eq!(local.read(&mut bytes).await.unwrap(), 10);
                open_peer
            };
            assert_eq!(local.read(&mut bytes).await.unwrap(), 0);
            assert_eq!(local.read(&mut bytes).await.unwrap(), 0);
            drop(open_peer);
        });
    }
}

/// A write that would block leaves the readiness for reads unchanged.
#[test]
fn a_full_send_buffer_does_not_hide_the_end_of_stream() {
    let (local, peer) = connected_pair();
    peer.shutdown(Shutdown::Write).unwrap();
    run(async {
        let chunk = vec![7; 1 << 16];
        let fill = async {
            loop {
                local.write_all(&chunk).await.unwrap();
            }
        };
        let full = async {
            Timer::at(after_ms(50)).await;
        };
        future::or(fill, full).await;
        assert_eq!(local.read(&mut [0; 8]).await.unwrap(), 0);
    });
}

#[test]
fn write_all_completes_with_a_slow_reader() {
    let (local, mut peer) = connected_pair();
    let bytes: Vec<u8> = (0..4 << 20).map(|index: u32| (index * 7) as u8).collect();
    let length = bytes.len();
    let reader = std::thread::spawn(move || {
        let mut received = vec![0; length];
        peer.read_exact(&mut received).unwrap();
        received
    });
    run(local.write_all(&bytes)).unwrap();
    assert_eq!(reader.join().unwrap(), bytes);
}

#[test]
fn a_read_that_fills_its_buffer_stays_ready_without_an_edge() {
    let (local, mut peer) = connected_pair();
    peer.write_all(&[1; 10]).unwrap();
    run(async {
        let mut bytes = [0; 4];
        for expected in [4, 4, 2] {
            assert_eq!(local.read(&mut bytes).await.unwrap(), expected);
        }
        peer.write_all(&[2; 3]).unwrap();
        assert_eq!(local.read(&mut bytes).await.unwrap(), 3);
    });
}

#[test]
fn all_connections_of_a_burst_are_accepted() {
    let listener = Async::<TcpListener>::bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let address = listener.get_ref().local_addr().unwrap();
    let burst: Vec<TcpStream> = (0..60)
        .map(|_| TcpStream::connect(address).unwrap())
        .collect();
    run(async {
        for _ in 0..burst.len() {
            listener.accept().await.unwrap();
        }
        let mut next = Box::pin(listener.accept());
        assert!(future::poll_once(&mut next).await.is_none());
        let _connection = TcpStream::connect(address).unwrap();
        next.await.unwrap();
    });
}

#[test]
fn connect_succeeds_or_reports_a_refusal() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    run(async {
        let local = Async::<TcpStream>::connect(address).await.unwrap();
        let mut peer = listener.accept().unwrap().0;
        local.write_all(b"hello").await.unwrap();
        let mut bytes = [0; 5];
        peer.read_exact(&mut bytes).unwrap();
        assert_eq!(&bytes, b"hello");
        drop(listener);
        assert!(Async::<TcpStream>::connect(address).await.is_err());
        let unused_address: SocketAddr = "[::1]:1".parse().unwrap();
        assert!(Async::<TcpStream>::connect(unused_address).await.is_err());
    });
}

/// After a reset, a read returns an error or the end of the stream, and a write returns an error;
/// neither blocks forever.
#[test]
fn a_reset_ends_reads_and_writes() {
    let (local, peer) = connected_pair();
    run(async {
        local.write_all(b"unread").await.unwrap();
        // Closing a socket with unread bytes resets the connection.
        let mut read = [0; 8];
        let mut reading = Box::pin(local.read(&mut read));
        assert!(future::poll_once(&mut reading).await.is_none());
        drop(peer);
        assert!(reading.await.map_or(true, |read| read == 0));
        let writing = async {
            while local.write_all(b"more").await.is_ok() {
                future::yield_now().await;
            }
        };
        writing.await;
    });
}

#[test]
fn wakers_work_from_another_thread() {
    let (sender, receiver) = std::sync::mpsc::channel::<Waker>();
    let waking_thread = std::thread::spawn(move || receiver.iter().for_each(Waker::wake));
    let mut polls = 0;
    run(poll_fn(|context| {
        polls += 1;
        if polls > 100 {
            return Poll::Ready(());
        }
        sender.send(context.waker().clone()).unwrap();
        Poll::Pending
    }));
    drop(sender);
    waking_thread.join().unwrap();
}

/// Sockets and timers make progress while another future is always ready to run.
#[test]
fn a_busy_future_does_not_starve_sockets() {
    let (local, mut peer) = connected_pair();
    peer.write_all(b"x").unwrap();
    let busy = async {
        loop {
            future::yield_now().await;
        }
    };
    let mut bytes = [0; 8];
    let read = async {
        Timer::at(after_ms(5)).await;
        local.read(&mut bytes).await.unwrap()
    };
    assert_eq!(run(future::or(async { Some(read.await) }, busy)), Some(1));
}

/// A new socket reuses the registration key of a dropped one.
#[test]
fn a_reused_key_receives_no_event_of_the_previous_socket() {
    run(async {
        for byte in 0..200u8 {
            let (local, mut peer) = connected_pair();
            if byte % 2 == 0 {
                peer.write_all(&[byte]).unwrap();
                continue;
            }
            let mut bytes = [0; 4];
            let mut read = Box::pin(local.read(&mut bytes));
            assert!(future::poll_once(&mut read).await.is_none());
            peer.write_all(&[byte]).unwrap();
            assert_eq!(read.await.unwrap(), 1);
            assert_eq!(bytes[0], byte);
        }
    });
}

/// Guards against events that wait for many turns of a task which always has more to do: with a
/// mere yield to the executor's other tasks the reader below waits for about 200 turns.
#[test]
fn a_task_that_waits_for_the_next_poll_delays_no_event() {
    let executor = Rc::new(LocalExecutor::new());
    let turns = Rc::new(Cell::new(0));
    let (reader, mut peer) = connected_pair();
    let reading = executor.spawn({
        let turns = turns.clone();
        async move {
            assert_eq!(reader.read(&mut [0; 8]).await.unwrap(), 1);
            turns.get()
        }
    });
    let busy = executor.spawn({
        let turns = turns.clone();
        async move {
            // The reader has begun to wait.
            next_poll().await;
            peer.write_all(&[1]).unwrap();
            turns.set(0);
            loop {
                turns.set(turns.get() + 1);
                next_poll().await;
            }
        }
    });
    let read_at = run(executor.run(reading));
    drop(busy);
    assert_eq!(read_at, 1);
}
