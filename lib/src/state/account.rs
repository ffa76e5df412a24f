//! Credentials: `account:secret`, of which configuration keeps only a hash.

use subtle::ConstantTimeEq;
use thiserror::Error;

use crate::state::fleet::Fleet;
use crate::state::id::AccountId;

/// Blake3 hash of a secret.
pub type KeyHash = [u8; 32];

/// What a credential may be used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Sends requests to the account's services.
    Caller,
    /// Publishes, states intents and confirms plans.
    Operator,
}

/// Whose objects an operator may see and change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Scope {
    /// Everything on the site.
    Site,
    /// One account's own pools, services and plans.
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

/// Why a credential was turned down.
///
/// An unknown account and a wrong secret are the same error on purpose: the answer must not tell
/// a stranger which accounts exist.
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

/// A credential as a request carries it.
#[derive(Clone, Copy, Debug)]
pub struct Credential<'a> {
    /// The account claimed.
    pub account: &'a str,
    secret: &'a str,
}

/// Name under which the site operator's key is presented: `site:secret`.
pub const SITE: &str = "site";

impl<'a> Credential<'a> {
    /// Reads a credential.
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

    /// Whether the secret hashes to one of `hashes`; looks at every one of them.
    pub fn matches(&self, hashes: &[KeyHash]) -> bool {
        let own = hash_secret(self.secret);
        let mut found = subtle::Choice::from(0);
        for hash in hashes {
            found |= own.ct_eq(hash);
        }
        found.into()
    }

    /// The account this credential speaks for in `role`.
    pub fn authenticate(&self, fleet: &Fleet, role: Role) -> Result<AccountId, CredentialError> {
        let entry = fleet.accounts.get_key_value(self.account);
        let Some((id, account)) = entry else {
            // Hash all the same, so that an unknown account takes as long as a wrong secret.
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

/// Hash of a secret, as configuration keeps it.
pub fn hash_secret(secret: &str) -> KeyHash {
    *blake3::hash(secret.as_bytes()).as_bytes()
}

/// Writes a hash as lower-case hexadecimal digits.
pub fn format_hash(hash: &KeyHash) -> String {
    blake3::Hash::from_bytes(*hash).to_hex().to_string()
}

/// Reads a hash of 64 hexadecimal digits.
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
