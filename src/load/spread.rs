//! How the requests of a workspace spread over the routers.

use rand_chacha::{ChaCha8Rng, rand_core::Rng};

/// Of ten skewed requests, those that come to the home router.
const SKEWED_HOME: u64 = 8;

/// How the requests of a workspace spread over the routers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Spread {
    /// Evenly over all routers.
    #[default]
    Even,
    /// All to one router.
    Home,
    /// Eight in ten to one router, the others evenly.
    Skewed,
}

impl Spread {
    /// Draws one of `count` routers; `home` is the number of the workspace.
    pub fn draw(self, home: usize, count: usize, random: &mut ChaCha8Rng) -> usize {
        let at_home = match self {
            Spread::Even => false,
            Spread::Home => true,
            Spread::Skewed => random.next_u64() % 10 < SKEWED_HOME,
        };
        if at_home {
            return home % count;
        }
        (random.next_u64() % count as u64) as usize
    }
}
