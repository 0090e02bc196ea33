//! Mutual proof of a key when a link opens.
//!
//! The accepting end signs both nonces first and the connecting end answers with the key that it
//! recognised, so that two fleets in the middle of a rotation still meet.

use {
    crate::{
        ConnectionSnafu, LinkError, LinkKeys, LinkSettings, UnauthenticatedSnafu,
        keys::SIGNATURE_BYTES,
    },
    snafu::{OptionExt, ResultExt, ensure},
    std::io,
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
        time::timeout,
    },
};

const NONCE_BYTES: usize = 32;
const ACCEPTOR: &[u8] = b"magnoliasail acceptor";
const CONNECTOR: &[u8] = b"magnoliasail connector";

/// Connects to an agent and proves the key to each other.
///
/// # Errors
///
/// Returns an error if the connection fails, falls silent or the peer holds none of the keys.
pub async fn connect(
    address: &str,
    keys: &LinkKeys,
    settings: &LinkSettings,
) -> Result<TcpStream, LinkError> {
    within(settings, async {
        let mut stream = TcpStream::connect(address).await.context(ConnectionSnafu)?;
        stream.set_nodelay(true).context(ConnectionSnafu)?;
        let own = nonce()?;
        stream.write_all(&own).await.context(ConnectionSnafu)?;
        let peer: [u8; NONCE_BYTES] = read(&mut stream).await?;
        let proof: [u8; SIGNATURE_BYTES] = read(&mut stream).await?;
        let keys = keys
            .matching(&challenge(ACCEPTOR, &own, &peer), &proof)
            .context(UnauthenticatedSnafu)?;
        let proof = keys.sign(&challenge(CONNECTOR, &own, &peer));
        stream.write_all(&proof).await.context(ConnectionSnafu)?;
        Ok(stream)
    })
    .await
}

/// Proves the key to each other on a connection that an entry has opened.
///
/// # Errors
///
/// Returns an error if the connection fails, falls silent or the peer holds none of the keys.
pub async fn accept(
    mut stream: TcpStream,
    keys: &LinkKeys,
    settings: &LinkSettings,
) -> Result<TcpStream, LinkError> {
    within(settings, async {
        stream.set_nodelay(true).context(ConnectionSnafu)?;
        let peer: [u8; NONCE_BYTES] = read(&mut stream).await?;
        let own = nonce()?;
        stream.write_all(&own).await.context(ConnectionSnafu)?;
        let proof = keys.sign(&challenge(ACCEPTOR, &peer, &own));
        stream.write_all(&proof).await.context(ConnectionSnafu)?;
        let proof: [u8; SIGNATURE_BYTES] = read(&mut stream).await?;
        let is_known = keys.verify(&challenge(CONNECTOR, &peer, &own), &proof);
        ensure!(is_known, UnauthenticatedSnafu);
        Ok(stream)
    })
    .await
}

async fn within<F>(settings: &LinkSettings, handshake: F) -> Result<TcpStream, LinkError>
where
    F: Future<Output = Result<TcpStream, LinkError>>,
{
    let silent = LinkError::TimedOut {
        timeout_ms: settings.timeout_ms,
    };
    timeout(settings.timeout(), handshake)
        .await
        .unwrap_or(Err(silent))
}

fn nonce() -> Result<[u8; NONCE_BYTES], LinkError> {
    let mut nonce = [0; NONCE_BYTES];
    getrandom::fill(&mut nonce)
        .map_err(io::Error::other)
        .context(ConnectionSnafu)?;
    Ok(nonce)
}

async fn read<const N: usize>(stream: &mut TcpStream) -> Result<[u8; N], LinkError> {
    let mut bytes = [0; N];
    stream
        .read_exact(&mut bytes)
        .await
        .context(ConnectionSnafu)?;
    Ok(bytes)
}

fn challenge(role: &[u8], connector: &[u8], acceptor: &[u8]) -> Vec<u8> {
    [role, connector, acceptor].concat()
}
