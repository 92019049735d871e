//! How many servers one try of a client reaches, over real sockets: an edge and two shields, of which the first, the
//! second or both may be frozen, reset, mute or gone, before servers that answer, fail, reset or hang.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use glenfall::edge::{self, Edge};
use glenfall::feed::{Feed, Follower};
use glenfall::pool::Pool;
use glenfall::room::Room;
use glenfall::serve::{serve_at, Handler, Terms, Whole};
use glenfall::shield::{self, object_hash, Shield};
use glenfall_plane::fleet::{Fleet, Told};
use glenfall_plane::messages::{Member, News, Proxy, Server};
use hyper::{Request, StatusCode};
use mallowpaddle::{Key, ServerId, Shields};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::{spawn_local, JoinSet};
use tokio::time::{sleep, Instant};

use crate::support::{listener, run_local, server, settings, stand_in};

/// How long a request may take, and after how long nothing is sent for it any more.
const DEADLINE: Duration = Duration::from_millis(3000);
const ALL_SENT: Duration = Duration::from_millis(3300);
/// The part of the retry budget that is shared out comes into force after its window.
const RETRY_WINDOW: Duration = Duration::from_millis(60);
const SERVERS: usize = 4;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum ServerActs {
    Answers,
    Fails,
    Resets,
    Hangs,
}

const SERVER_ACTS: [ServerActs; 4] =
    [ServerActs::Answers, ServerActs::Fails, ServerActs::Resets, ServerActs::Hangs];

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ShieldActs {
    Well,
    /// It reads nothing and says nothing.
    Frozen,
    Resets,
    /// It does as it should, and its answers are lost.
    Mute,
    Unreachable,
}

const SHIELD_ACTS: [ShieldActs; 5] =
    [ShieldActs::Well, ShieldActs::Frozen, ShieldActs::Resets, ShieldActs::Mute, ShieldActs::Unreachable];

/// The servers that each try has reached.
type Reached = Rc<RefCell<BTreeMap<String, BTreeSet<usize>>>>;

/// The id of a try, once its request is there whole.
fn try_id(heard: &[u8]) -> Option<String> {
    let text = std::str::from_utf8(heard).ok()?.strip_suffix("\r\n\r\n")?;
    let mut lines = text.lines().filter_map(|line| line.split_once(": "));
    let (_, id) = lines.find(|(name, _)| name.eq_ignore_ascii_case("x-glenfall-try-id"))?;
    Some(id.to_owned())
}

async fn serve_requests(mut stream: TcpStream, number: usize, acts: ServerActs, reached: Reached) {
    let mut heard = Vec::new();
    while stream.read_buf(&mut heard).await.is_ok_and(|read| read > 0) {
        let Some(id) = try_id(&heard) else { continue };
        heard.clear();
        reached.borrow_mut().entry(id.clone()).or_default().insert(number);
        let status = match acts {
            ServerActs::Answers => "200 OK",
            ServerActs::Fails => "500 Failed",
            ServerActs::Resets => return,
            ServerActs::Hangs => continue,
        };
        let answer = format!("HTTP/1.1 {status}\r\nX-Glenfall-Try-Id: {id}\r\nContent-Length: 2\r\n\r\nok");
        if stream.write_all(answer.as_bytes()).await.is_err() {
            return;
        }
    }
}

async fn start_servers(acts: ServerActs, reached: &Reached) -> Vec<Server> {
    let mut servers = Vec::new();
    for number in 0..SERVERS {
        let reached = Rc::clone(reached);
        let connection = move |stream| serve_requests(stream, number, acts, Rc::clone(&reached));
        servers.push(server(&format!("server-{number}"), stand_in(connection).await.port()));
    }
    servers
}

const SETTINGS: &str = "[timing]\nretryWindowS = 0.05\nretrySlack = 1000\n";

fn document() -> Arc<Vec<u8>> {
    let routes: Vec<String> = (1..=3)
        .map(|tries| {
            format!(
                r#"{{"name": "r{tries}", "hostname": "h", "pathPrefix": "/{tries}/", "type": "cacheable",
                "deadlineMs": {}, "backend": "s", "tries": {tries}, "maxAgeS": 60}}"#,
                DEADLINE.as_millis()
            )
        })
        .collect();
    let text = format!(r#"{{"rev": 1, "paths": [{}], "backends": [{{"name": "s"}}]}}"#, routes.join(","));
    Arc::new(text.into_bytes())
}

/// Tells a proxy what control would.
fn tell(feed: &Feed, follower: &impl Follower, fleet: &Fleet) {
    assert!(feed.take(News::Config { rev: 1, document: document() }, follower));
    assert!(feed.take(News::Fleet(Told::Whole { number: 1, fleet: fleet.clone() }), follower));
    assert!(feed.take(News::InTouch(true), follower));
}

fn pool() -> Rc<Pool> {
    Pool::new(64, Room::new(1 << 20))
}

/// Starts a shield that is well, and returns where it takes reads.
async fn start_shield(servers: &[Server], stopping: &watch::Receiver<bool>) -> SocketAddrV4 {
    let boot = Rc::new(settings(SETTINGS));
    let feed = Feed::new(Rc::clone(&boot), Proxy::Shield);
    let shield = Shield::new(&boot, Rc::clone(&feed), pool());
    tell(&feed, &*shield, &fleet(servers, &[]));
    let (listener, address) = listener().await;
    let (still_accepting, grace) = (Duration::ZERO, Duration::ZERO);
    let terms = Terms { listen: address, most: 64, most_bodies: 0, still_accepting, grace };
    let serving = serve_at(listener, terms, Rc::new(shield::Serving(shield)), stopping.clone());
    spawn_local(serving);
    address
}

/// Starts what stands for a shield.
async fn start(acts: ShieldActs, servers: &[Server], stopping: &watch::Receiver<bool>) -> SocketAddrV4 {
    match acts {
        ShieldActs::Well => start_shield(servers, stopping).await,
        ShieldActs::Unreachable => listener().await.1,
        ShieldActs::Frozen => {
            stand_in(|stream| async move {
                sleep(ALL_SENT).await;
                drop(stream);
            })
            .await
        }
        ShieldActs::Resets => {
            stand_in(|mut stream| async move {
                let mut heard = Vec::new();
                while try_id(&heard).is_none() && stream.read_buf(&mut heard).await.is_ok_and(|n| n > 0) {}
                let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
            })
            .await
        }
        ShieldActs::Mute => {
            let behind = start_shield(servers, stopping).await;
            stand_in(move |mut stream| async move {
                let mut shield = TcpStream::connect(behind).await.expect("the shield behind it");
                let (mut from_edge, _to_edge) = stream.split();
                let (_from_shield, mut to_shield) = shield.split();
                let _ = tokio::io::copy(&mut from_edge, &mut to_shield).await;
                sleep(ALL_SENT).await;
            })
            .await
        }
    }
}

fn fleet(servers: &[Server], shields: &[SocketAddrV4]) -> Fleet {
    let member = |(number, http): (usize, &SocketAddrV4)| Member {
        node: format!("shield-{number}"),
        zone: "other".into(),
        proxy: Proxy::Shield,
        http: *http,
        ready: true,
    };
    let shields = shields.iter().enumerate().map(member).collect();
    Fleet { complete: true, servers: servers.to_vec(), shields, edges: vec![1], cores: 2 }
}

/// A path of the route with as many tries, whose home is the first of two shields.
fn path_at_first(shields: &[SocketAddrV4], tries: u32) -> String {
    let ids: Vec<ServerId> = shields.iter().map(|http| ServerId(http.to_string().as_str().into())).collect();
    let mut array = Shields::default();
    array.update(&ids);
    let paths = (0..1000).map(|n| format!("/{tries}/{n}"));
    let mut at_first =
        paths.filter(|path| array.choose(0.0, Key(object_hash("h", path)), &[]) == Some(&ids[0]));
    at_first.next().expect("half of them have their home there")
}

struct Case {
    tries: u32,
    shields: [ShieldActs; 2],
    servers: ServerActs,
}

impl Case {
    /// Whether a healthy path is left within the sends allowed: each shield that is silent or breaks off may have used
    /// all that it was lent, which is all but one while there is more than one.
    fn has_healthy_path(&self) -> bool {
        let mut left = self.tries;
        for shield in self.shields {
            match shield {
                _ if left == 0 => return false,
                ShieldActs::Well => return self.servers == ServerActs::Answers,
                ShieldActs::Unreachable => {}
                ShieldActs::Frozen | ShieldActs::Resets | ShieldActs::Mute => left = u32::from(left > 1),
            }
        }
        left > 0 && self.servers == ServerActs::Answers
    }

    /// Plays one read, and says what its client got.
    async fn play(&self, id: &str, servers: &[Server], stopping: &watch::Receiver<bool>) -> StatusCode {
        let mut shields = Vec::new();
        for acts in self.shields {
            shields.push(start(acts, servers, stopping).await);
        }
        let boot = Rc::new(settings(SETTINGS));
        let feed = Feed::new(Rc::clone(&boot), Proxy::Edge);
        let edge = Edge::new(&boot, Rc::clone(&feed), pool());
        tell(&feed, &*edge, &fleet(servers, &shields));
        sleep(RETRY_WINDOW).await;
        let began = Instant::now();
        let request = Request::get(path_at_first(&shields, self.tries))
            .header("Host", "h")
            .header("X-Glenfall-Try-Id", id)
            .header("X-Glenfall-Deadline", DEADLINE.as_millis().to_string());
        let (head, ()) = request.body(()).expect("a request").into_parts();
        let answer = edge::Serving(edge).answer(Whole { head, body: Bytes::new() }).await;
        tokio::time::sleep_until(began + ALL_SENT).await;
        answer.status()
    }
}

fn all_cases() -> Vec<Case> {
    let mut cases = Vec::new();
    for tries in 1..=3 {
        for first in SHIELD_ACTS {
            for second in SHIELD_ACTS {
                for servers in SERVER_ACTS {
                    cases.push(Case { tries, shields: [first, second], servers });
                }
            }
        }
    }
    cases
}

#[test]
fn a_try_reaches_no_more_servers_than_its_route_allows_and_is_answered_where_one_can() {
    run_local(async {
        let reached = Reached::default();
        let (_running, stopping) = watch::channel(false);
        let mut servers = BTreeMap::new();
        for acts in SERVER_ACTS {
            servers.insert(acts, start_servers(acts, &reached).await);
        }
        let mut plays = JoinSet::new();
        for case in all_cases() {
            let id = format!("{} tries, {:?}, {:?}", case.tries, case.shields, case.servers);
            let (servers, stopping) = (servers[&case.servers].clone(), stopping.clone());
            plays.spawn_local(async move {
                let status = case.play(&id, &servers, &stopping).await;
                (id, case, status)
            });
        }
        while let Some(played) = plays.join_next().await {
            let (id, case, status) = played.expect("no panic");
            let servers = reached.borrow().get(&id).map_or(0, BTreeSet::len);
            assert!(servers <= case.tries as usize, "{id}: {servers} servers reached");
            if case.has_healthy_path() {
                assert_eq!(status, StatusCode::OK, "{id}");
            }
        }
    });
}
