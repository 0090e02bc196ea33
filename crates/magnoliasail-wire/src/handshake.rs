//! Mutual authentication with a shared key when a link opens.
//!
//! Each end sends a random nonce and then a signature over its role and both nonces; because the
//! role is signed, neither end can replay the other's signature. The accepting end signs first and
//! the connecting end answers with the key that verified that signature, so two ends in the middle
//! of a key rotation still authenticate.

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
const ACCEPTOR_ROLE: &[u8] = b"magnoliasail acceptor";
const CONNECTOR_ROLE: &[u8] = b"magnoliasail connector";

/// Connects to an agent and performs the handshake of the connecting end.
///
/// # Errors
///
/// Returns an error if the connection fails, if the handshake exceeds [`LinkSettings::timeout_ms`]
/// or if the peer holds none of the keys.
pub async fn connect(
    address: &str,
    keys: &LinkKeys,
    settings: &LinkSettings,
) -> Result<TcpStream, LinkError> {
    with_timeout(settings, async {
        let mut stream = TcpStream::connect(address).await.context(ConnectionSnafu)?;
        stream.set_nodelay(true).context(ConnectionSnafu)?;
        let own_nonce = random_nonce()?;
        stream
            .write_all(&own_nonce)
            .await
            .context(ConnectionSnafu)?;
        let peer_nonce: [u8; NONCE_BYTES] = read_array(&mut stream).await?;
        let signature: [u8; SIGNATURE_BYTES] = read_array(&mut stream).await?;
        let verified_keys = keys
            .matching_signature(
                &challenge(ACCEPTOR_ROLE, &own_nonce, &peer_nonce),
                &signature,
            )
            .context(UnauthenticatedSnafu)?;
        let signature = verified_keys.sign(&challenge(CONNECTOR_ROLE, &own_nonce, &peer_nonce));
        stream
            .write_all(&signature)
            .await
            .context(ConnectionSnafu)?;
        Ok(stream)
    })
    .await
}

/// Performs the handshake of the accepting end on a connection that an entry has opened.
///
/// # Errors
///
/// Returns an error if the connection fails, if the handshake exceeds [`LinkSettings::timeout_ms`]
/// or if the peer holds none of the keys.
pub async fn accept(
    mut stream: TcpStream,
    keys: &LinkKeys,
    settings: &LinkSettings,
) -> Result<TcpStream, LinkError> {
    with_timeout(settings, async {
        stream.set_nodelay(true).context(ConnectionSnafu)?;
        let peer_nonce: [u8; NONCE_BYTES] = read_array(&mut stream).await?;
        let own_nonce = random_nonce()?;
        stream
            .write_all(&own_nonce)
            .await
            .context(ConnectionSnafu)?;
        let signature = keys.sign(&challenge(ACCEPTOR_ROLE, &peer_nonce, &own_nonce));
        stream
            .write_all(&signature)
            .await
            .context(ConnectionSnafu)?;
        let signature: [u8; SIGNATURE_BYTES] = read_array(&mut stream).await?;
        let is_verified = keys.verify(
            &challenge(CONNECTOR_ROLE, &peer_nonce, &own_nonce),
            &signature,
        );
        ensure!(is_verified, UnauthenticatedSnafu);
        Ok(stream)
    })
    .await
}

async fn with_timeout<F>(settings: &LinkSettings, handshake: F) -> Result<TcpStream, LinkError>
where
    F: Future<Output = Result<TcpStream, LinkError>>,
{
    let timed_out = LinkError::TimedOut {
        timeout_ms: settings.timeout_ms,
    };
    timeout(settings.timeout(), handshake)
        .await
        .unwrap_or(Err(timed_out))
}

fn random_nonce() -> Result<[u8; NONCE_BYTES], LinkError> {
    let mut nonce = [0; NONCE_BYTES];
    getrandom::fill(&mut nonce)
        .map_err(io::Error::other)
        .context(ConnectionSnafu)?;
    Ok(nonce)
}

async fn read_array<const N: usize>(stream: &mut TcpStream) -> Result<[u8; N], LinkError> {
    let mut bytes = [0; N];
    stream
        .read_exact(&mut bytes)
        .await
        .context(ConnectionSnafu)?;
    Ok(bytes)
}

/// Returns the bytes that the end with `signer_role` signs.
fn challenge(signer_role: &[u8], connector_nonce: &[u8], acceptor_nonce: &[u8]) -> Vec<u8> {
    [signer_role, connector_nonce, acceptor_nonce].concat()
}
