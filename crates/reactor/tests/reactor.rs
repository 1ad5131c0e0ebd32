//! What edges make hard, each on real sockets.

use async_executor::LocalExecutor;
use futures_lite::future;
use pipitlever_reactor::{block_on, Async, Timer};
use std::cell::RefCell;
use std::future::{poll_fn, Future};
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Poll, Waker};
use std::time::{Duration, Instant};

fn ahead(ms: u64) -> Instant {
    Instant::now() + Duration::from_millis(ms)
}

/// Fails rather than hangs.
fn run<T>(future: impl Future<Output = T>) -> T {
    let late = async {
        Timer::at(ahead(20_000)).await;
        panic!("it hangs");
    };
    block_on(future::or(future, late))
}

/// Both ends of a connection, the first one asynchronous.
fn pair() -> (Async<TcpStream>, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let ours = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    (
        Async::<TcpStream>::new(ours).unwrap(),
        listener.accept().unwrap().0,
    )
}

/// A timer that is waited for and has not rung yet, however long the machine kept the test waiting.
async fn waiting(ms: u64) -> Pin<Box<Timer>> {
    loop {
        let mut timer = Box::pin(Timer::at(ahead(ms)));
        if future::poll_once(&mut timer).await.is_none() {
            return timer;
        }
    }
}

#[test]
fn timers_are_ready_in_order_and_not_before() {
    let executor = Rc::new(LocalExecutor::new());
    let order = Rc::new(RefCell::new(Vec::new()));
    // Far enough off that all of them are waited for before the first one rings.
    let start = ahead(200);
    let tasks: Vec<_> = [30, 10, 20, 10, 0]
        .map(|ms| {
            let order = order.clone();
            executor.spawn(async move {
                let at = start + Duration::from_millis(ms);
                assert_eq!(Timer::at(at).await, at);
                assert!(Instant::now() >= at);
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
fn a_timer_that_is_dropped_wakes_nobody() {
    let mut polls = 0;
    run(async {
        drop(waiting(5).await);
        let mut second = waiting(60).await;
        poll_fn(|context| {
            polls += 1;
            second.as_mut().poll(context).map(|_| ())
        })
        .await;
    });
    // One is enough if the second rings before it is polled here; a third would be the first one's.
    assert!((1..=2).contains(&polls), "{polls}");
}

/// The poller's own time-out has whole milliseconds, rounded up: a timer of 3.3 ms would be 0.7 ms
/// late or more.
#[test]
fn timers_keep_to_less_than_a_millisecond() {
    let late = (0..50).map(|_| {
        let at = Instant::now() + Duration::from_micros(3300);
        run(Timer::at(at));
        at.elapsed()
    });
    let least = late.min().unwrap();
    assert!(least < Duration::from_micros(500), "{least:?}");
}

/// The clock was once taken to be set for a timer that had long been dropped, and nothing else ever
/// set it.
#[test]
fn a_clock_that_rang_for_nobody_is_set_again() {
    let (done, ended) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        let (ours, mut theirs) = pair();
        block_on(async {
            let dropped = waiting(5).await;
            // The poller waits with the clock set for it, and is woken by something else.
            let say = std::thread::spawn(move || {
                theirs.write_all(b"x").unwrap();
                theirs
            });
            ours.read(&mut [0; 8]).await.unwrap();
            drop(dropped);
            let mut theirs = say.join().unwrap();
            std::thread::sleep(Duration::from_millis(10));
            theirs.write_all(b"y").unwrap();
            ours.read(&mut [0; 8]).await.unwrap();
            Timer::at(ahead(5)).await;
        });
        done.send(()).unwrap();
    });
    ended
        .recv_timeout(Duration::from_secs(20))
        .expect("the timer rings");
}

/// The end comes with the bytes in one event, and no edge follows.
#[test]
fn an_end_that_came_with_the_last_bytes_is_seen() {
    for wait in [false, true] {
        let (ours, mut theirs) = pair();
        let say = move || {
            theirs.write_all(b"last words").unwrap();
            theirs.shutdown(Shutdown::Write).unwrap();
            theirs
        };
        let mut bytes = [0; 100];
        run(async {
            let held = if wait {
                // The reader is waiting before anything comes.
                let mut read = Box::pin(ours.read(&mut bytes));
                assert!(future::poll_once(&mut read).await.is_none());
                let held = say();
                assert_eq!(read.await.unwrap(), 10);
                held
            } else {
                let held = say();
                assert_eq!(ours.read(&mut bytes).await.unwrap(), 10);
                held
            };
            assert_eq!(ours.read(&mut bytes).await.unwrap(), 0);
            assert_eq!(ours.read(&mut bytes).await.unwrap(), 0);
            drop(held);
        });
    }
}

/// A write that would block says nothing of the other way.
#[test]
fn a_full_send_buffer_does_not_hide_the_peers_end() {
    let (ours, theirs) = pair();
    theirs.shutdown(Shutdown::Write).unwrap();
    run(async {
        let chunk = vec![7; 1 << 16];
        let fill = async {
            loop {
                ours.write_all(&chunk).await.unwrap();
            }
        };
        let full = async {
            Timer::at(ahead(50)).await;
        };
        future::or(fill, full).await;
        assert_eq!(ours.read(&mut [0; 8]).await.unwrap(), 0);
    });
}

#[test]
fn what_the_peer_takes_slowly_is_written_whole() {
    let (ours, mut theirs) = pair();
    let bytes: Vec<u8> = (0..4 << 20).map(|i: u32| (i * 7) as u8).collect();
    let length = bytes.len();
    let reader = std::thread::spawn(move || {
        let mut all = vec![0; length];
        theirs.read_exact(&mut all).unwrap();
        all
    });
    run(ours.write_all(&bytes)).unwrap();
    assert_eq!(reader.join().unwrap(), bytes);
}

#[test]
fn a_read_that_fills_its_buffer_goes_on_without_an_edge() {
    let (ours, mut theirs) = pair();
    theirs.write_all(&[1; 10]).unwrap();
    run(async {
        let mut bytes = [0; 4];
        for expected in [4, 4, 2] {
            assert_eq!(ours.read(&mut bytes).await.unwrap(), expected);
        }
        theirs.write_all(&[2; 3]).unwrap();
        assert_eq!(ours.read(&mut bytes).await.unwrap(), 3);
    });
}

#[test]
fn a_burst_of_connections_is_accepted_whole() {
    let listener = Async::<TcpListener>::bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let at = listener.get_ref().local_addr().unwrap();
    let burst: Vec<TcpStream> = (0..60).map(|_| TcpStream::connect(at).unwrap()).collect();
    run(async {
        for _ in 0..burst.len() {
            listener.accept().await.unwrap();
        }
        let mut more = Box::pin(listener.accept());
        assert!(future::poll_once(&mut more).await.is_none());
        let _one = TcpStream::connect(at).unwrap();
        more.await.unwrap();
    });
}

#[test]
fn a_connection_is_there_or_refused() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let at = listener.local_addr().unwrap();
    run(async {
        let ours = Async::<TcpStream>::connect(at).await.unwrap();
        let mut theirs = listener.accept().unwrap().0;
        ours.write_all(b"hello").await.unwrap();
        let mut bytes = [0; 5];
        theirs.read_exact(&mut bytes).unwrap();
        assert_eq!(&bytes, b"hello");
        drop(listener);
        assert!(Async::<TcpStream>::connect(at).await.is_err());
        let nowhere: SocketAddr = "[::1]:1".parse().unwrap();
        assert!(Async::<TcpStream>::connect(nowhere).await.is_err());
    });
}

/// A reset is an error or an end to the reader, and an error to the writer; neither waits for ever.
#[test]
fn a_reset_ends_both_ways() {
    let (ours, theirs) = pair();
    run(async {
        ours.write_all(b"unread").await.unwrap();
        // Bytes that were not read make the close a reset.
        let mut read = [0; 8];
        let mut reading = Box::pin(ours.read(&mut read));
        assert!(future::poll_once(&mut reading).await.is_none());
        drop(theirs);
        assert!(reading.await.map_or(true, |n| n == 0));
        let writing = async {
            while ours.write_all(b"more").await.is_ok() {
                future::yield_now().await;
            }
        };
        writing.await;
    });
}

#[test]
fn another_thread_may_wake_the_poller() {
    let (send, receive) = std::sync::mpsc::channel::<Waker>();
    let waker = std::thread::spawn(move || receive.iter().for_each(Waker::wake));
    let mut polls = 0;
    run(poll_fn(|context| {
        polls += 1;
        if polls > 100 {
            return Poll::Ready(());
        }
        send.send(context.waker().clone()).unwrap();
        Poll::Pending
    }));
    drop(send);
    waker.join().unwrap();
}

/// A future that always has something to do still lets sockets and timers have their turn.
#[test]
fn a_busy_future_starves_no_socket() {
    let (ours, mut theirs) = pair();
    theirs.write_all(b"x").unwrap();
    let busy = async {
        loop {
            future::yield_now().await;
        }
    };
    let mut bytes = [0; 8];
    let read = async {
        Timer::at(ahead(5)).await;
        ours.read(&mut bytes).await.unwrap()
    };
    assert_eq!(run(future::or(async { Some(read.await) }, busy)), Some(1));
}

/// Sockets come and go: the place of one is taken by the next, which hears nothing of the last
/// one's.
#[test]
fn a_place_is_used_again() {
    run(async {
        for i in 0..200u8 {
            let (ours, mut theirs) = pair();
            if i % 2 == 0 {
                theirs.write_all(&[i]).unwrap();
                continue;
            }
            let mut bytes = [0; 4];
            let mut read = Box::pin(ours.read(&mut bytes));
            assert!(future::poll_once(&mut read).await.is_none());
            theirs.write_all(&[i]).unwrap();
            assert_eq!(read.await.unwrap(), 1);
            assert_eq!(bytes[0], i);
        }
    });
}
