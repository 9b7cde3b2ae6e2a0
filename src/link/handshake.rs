//! Proofs by which both ends of a connection show that they have the fleet key.

use crate::{id, secret};
use rand_chacha::rand_core::Rng;

/// Size of a nonce; random nonces of this size do not repeat.
pub(super) const NONCE_BYTES: usize = 16;

/// Label of the accepting side's proof; differs from the connecting side's, so that a proof cannot
/// be reflected to its sender.
const SERVER_LABEL: &[u8] = b"marlrun server";
/// Label of the connecting side's proof.
const CLIENT_LABEL: &[u8] = b"marlrun client";

/// Nonces of one handshake.
#[derive(Clone, Debug, Default)]
pub(super) struct Nonces {
    /// Nonce of the connecting side.
    pub(super) client: Vec<u8>,
    /// Nonce of the accepting side.
    pub(super) server: Vec<u8>,
}

/// Identity that the connecting side claims.
#[derive(Clone, Debug)]
pub(super) struct Identity {
    pub(super) router: id::Router,
    pub(super) incarnation: id::Incarnation,
    /// Encoded address of the connecting router's peer interface.
    pub(super) address: Vec<u8>,
    /// Router that the connecting side expects to reach.
    pub(super) receiver: id::Router,
}

/// Returns a random nonce.
pub(super) fn nonce(rng: &mut impl Rng) -> Vec<u8> {
    let mut nonce = vec![0; NONCE_BYTES];
    rng.fill_bytes(&mut nonce);
    nonce
}

/// Returns the accepting side's proof.
pub(super) fn server_proof(
    key: &secret::Key,
    nonces: &Nonces,
    receiver: &id::Router,
) -> [u8; secret::PROOF_BYTES] {
    let receiver = receiver.as_str().as_bytes();
    key.prove(&[SERVER_LABEL, &nonces.client, &nonces.server, receiver])
}

/// Checks the accepting side's proof.
pub(super) fn is_server(
    key: &secret::Key,
    nonces: &Nonces,
    receiver: &id::Router,
    proof: &[u8],
) -> bool {
    let receiver = receiver.as_str().as_bytes();
    let parts = [SERVER_LABEL, &nonces.client, &nonces.server, receiver];
    proof.len() == secret::PROOF_BYTES && key.verify(&parts, proof)
}

/// Returns the connecting side's proof.
pub(super) fn client_proof(
    key: &secret::Key,
    nonces: &Nonces,
    identity: &Identity,
) -> [u8; secret::PROOF_BYTES] {
    key.prove(&client_parts(
        nonces,
        identity,
        &identity.incarnation.0.to_be_bytes(),
    ))
}

/// Checks the connecting side's proof.
pub(super) fn is_client(
    key: &secret::Key,
    nonces: &Nonces,
    identity: &Identity,
    proof: &[u8],
) -> bool {
    let incarnation = identity.incarnation.0.to_be_bytes();
    let parts = client_parts(nonces, identity, &incarnation);
    proof.len() == secret::PROOF_BYTES && key.verify(&parts, proof)
}

fn client_parts<'a>(
    nonces: &'a Nonces,
    identity: &'a Identity,
    incarnation: &'a [u8],
) -> [&'a [u8]; 7] {
    [
        CLIENT_LABEL,
        &nonces.client,
        &nonces.server,
        identity.router.as_str().as_bytes(),
        incarnation,
        &identity.address,
        identity.receiver.as_str().as_bytes(),
    ]
}
