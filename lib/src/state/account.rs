//! Credentials of the form `account:secret`; the configuration stores only hashes of secrets.

use subtle::ConstantTimeEq;
use thiserror::Error;

use crate::state::fleet::Fleet;
use crate::state::id::AccountId;

/// Blake3 hash of a secret.
pub type KeyHash = [u8; 32];

/// What a credential may be used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Sending requests to the account's services.
    Caller,
    /// Publishing configuration, submitting intents and confirming plans.
    Operator,
}

/// The objects that an operator may see and change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Scope {
    /// All objects of the site.
    Site,
    /// The pools, services and plans of one account.
    Account(AccountId),
}

impl Scope {
    /// Whether an object of `account` is within this scope.
    pub fn includes(&self, account: &str) -> bool {
        match self {
            Scope::Site => true,
            Scope::Account(own) => own.as_ref() == account,
        }
    }
}

/// Why a credential was rejected.
///
/// An unknown account and a wrong secret are the same error, so that an unauthenticated client
/// cannot find out which accounts exist.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum CredentialError {
    /// No credential was given.
    #[error("no credential was given")]
    Missing,
    /// The credential does not have the form `account:secret`.
    #[error("the credential does not have the form account:secret")]
    Malformed,
    /// The account does not exist or the secret is not one of its keys.
    #[error("the credential is not valid")]
    Unknown,
}

/// A credential of a request, not yet verified.
#[derive(Clone, Copy, Debug)]
pub struct Credential<'a> {
    /// The account named by the credential.
    pub account: &'a str,
    secret: &'a str,
}

/// Account name of the site operator's credential, `site:secret`; no client account may have it.
pub const SITE: &str = "site";

impl<'a> Credential<'a> {
    /// Parses a credential.
    ///
    /// ```
    /// use spokelift_lib::state::account::Credential;
    /// assert_eq!(Credential::parse("desk:s3cret").unwrap().account, "desk");
    /// assert!(Credential::parse("desk").is_err());
    /// ```
    pub fn parse(text: &'a str) -> Result<Credential<'a>, CredentialError> {
        let (account, secret) = text.split_once(':').ok_or(CredentialError::Malformed)?;
        Ok(Credential { account, secret })
    }

    /// Whether the secret hashes to one of `hashes`. Compares with all of them, in constant time.
    pub fn matches(&self, hashes: &[KeyHash]) -> bool {
        let secret_hash = hash_secret(self.secret);
        let mut is_match = subtle::Choice::from(0);
        for hash in hashes {
            is_match |= secret_hash.ct_eq(hash);
        }
        is_match.into()
    }

    /// Verifies the credential for `role` and returns its account.
    ///
    /// # Errors
    ///
    /// [`CredentialError::Unknown`] if there is no such account or the secret is not one of its keys.
    pub fn authenticate(&self, fleet: &Fleet, role: Role) -> Result<AccountId, CredentialError> {
        let entry = fleet.accounts.get_key_value(self.account);
        let Some((id, account)) = entry else {
            // Hash anyway, so that the response time does not reveal whether the account exists.
            self.matches(&[KeyHash::default()]);
            return Err(CredentialError::Unknown);
        };
        let hashes = match role {
            Role::Caller => &account.caller_keys,
            Role::Operator => &account.operator_keys,
        };
        if self.matches(hashes) { Ok(id.clone()) } else { Err(CredentialError::Unknown) }
    }
}

/// Hash of a secret, as the configuration stores it.
pub fn hash_secret(secret: &str) -> KeyHash {
    *blake3::hash(secret.as_bytes()).as_bytes()
}

/// Formats a hash as lower-case hexadecimal digits.
pub fn format_hash(hash: &KeyHash) -> String {
    blake3::Hash::from_bytes(*hash).to_hex().to_string()
}

/// Parses a hash of 64 hexadecimal digits.
///
/// ```
/// use spokelift_lib::state::account::{format_hash, hash_secret, parse_hash};
/// let hash = hash_secret("s3cret");
/// assert_eq!(parse_hash(&format_hash(&hash)), Some(hash));
/// assert_eq!(parse_hash("not a hash"), None);
/// ```
pub fn parse_hash(text: &str) -> Option<KeyHash> {
    let hash = blake3::Hash::from_hex(text.as_bytes()).ok()?;
    Some(*hash.as_bytes())
}
