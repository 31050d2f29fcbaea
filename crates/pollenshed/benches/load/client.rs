//! A minimal HTTP/1.1 client that reuses connections, so that the load generator needs little CPU.

use std::{
    collections::HashMap,
    io::{Error, ErrorKind, Result},
    net::SocketAddr,
    sync::Mutex,
};

use tokio::{
    io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader},
    net::TcpStream,
};

type Connection = BufReader<TcpStream>;

/// An answer, as far as the measurements need it.
#[derive(Debug)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Header lines with names in lower case.
    pub headers: HashMap<String, String>,
}

/// Why a request has no answer.
#[derive(Debug)]
pub enum Failure {
    /// The connection was refused, so another address can be tried.
    Refused,
    /// The connection failed later.
    Lost(Error),
}

/// Idle connections by address.
#[derive(Default)]
pub struct Client {
    idle: Mutex<HashMap<SocketAddr, Vec<Connection>>>,
}

impl Client {
    /// Sends a request whose head and body are in `bytes` and reads the whole answer.
    pub async fn send(
        &self,
        address: SocketAddr,
        bytes: &[u8],
    ) -> std::result::Result<Answer, Failure> {
        let pooled = self.idle.lock().unwrap().get_mut(&address).and_then(Vec::pop);
        if let Some(connection) = pooled
            && let Ok(answer) = self.exchange(address, connection, bytes).await
        {
            return Ok(answer);
        }
        let stream = TcpStream::connect(address).await.map_err(|e| match e.kind() {
            ErrorKind::ConnectionRefused => Failure::Refused,
            _ => Failure::Lost(e),
        })?;
        let _ = stream.set_nodelay(true);
        self.exchange(address, BufReader::new(stream), bytes).await.map_err(Failure::Lost)
    }

    async fn exchange(
        &self,
        address: SocketAddr,
        mut connection: Connection,
        bytes: &[u8],
    ) -> Result<Answer> {
        connection.get_mut().write_all(bytes).await?;
        let answer = read_answer(&mut connection).await?;
        if answer.headers.get("connection").is_none_or(|v| v != "close") {
            self.idle.lock().unwrap().entry(address).or_default().push(connection);
        }
        Ok(answer)
    }
}

async fn read_answer(connection: &mut Connection) -> Result<Answer> {
    let malformed = || Error::new(ErrorKind::InvalidData, "malformed answer");
    let first = read_line(connection).await?;
    let status = first.split(' ').nth(1).and_then(|s| s.parse().ok()).ok_or_else(malformed)?;
    let mut headers = HashMap::new();
    loop {
        let line = read_line(connection).await?;
        let Some((name, value)) = line.split_once(':') else { break };
        headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
    }
    let length = headers.get("content-length").map_or(Ok(0), |v| v.parse());
    let mut body = vec![0; length.map_err(|_| malformed())?];
    connection.read_exact(&mut body).await?;
    Ok(Answer { status, headers })
}

async fn read_line(connection: &mut Connection) -> Result<String> {
    let mut line = String::new();
    if connection.read_line(&mut line).await? == 0 {
        return Err(ErrorKind::UnexpectedEof.into());
    }
    Ok(line.trim_end().to_owned())
}
