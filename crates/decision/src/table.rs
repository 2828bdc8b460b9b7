//! A lookup table as in Maglev hashing: each member fills entries in an order of its own, one at a time, so
//! that a change of members moves few entries. This module makes no decisions.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Table sizes. They are prime, so that every step width visits every entry.
const TABLE_SIZES: [usize; 10] = [1021, 2039, 4093, 8191, 16381, 32749, 65521, 131_071, 262_139, 1_048_573];
/// Fewest table entries per member of mean weight. Shares then match weights within a twelfth, and a table of
/// hundreds of members is built in time when a release changes the endpoints again and again.
const MIN_ENTRIES_PER_MEMBER: usize = 12;

/// A member counts with at least this share of the largest weight, so that every member has entries.
const MIN_WEIGHT_SHARE: f64 = 0.02;

/// Maps hashes to member numbers.
#[derive(Debug, Default)]
pub struct Table {
    members: Vec<usize>,
    entries: Vec<u32>,
}

impl Table {
    /// Builds the table of members given as (number, id, weight) in the order of their ids. The numbers of
    /// entries are in proportion to the weights.
    pub fn build(&mut self, members: &[(usize, &str, f64)]) {
        self.members = members.iter().map(|&(i, ..)| i).collect();
        self.entries.clear();
        if members.is_empty() {
            return;
        }
        let min_size = members.len() * MIN_ENTRIES_PER_MEMBER;
        let size =
            TABLE_SIZES.into_iter().find(|&s| s >= min_size).unwrap_or(TABLE_SIZES[TABLE_SIZES.len() - 1]);
        let hash = |id: &str, seed| xxh3_64_with_seed(id.as_bytes(), seed) as usize;
        let start = |id: &str| (hash(id, 1) % size, 1 + hash(id, 2) % (size - 1));
        let mut positions: Vec<(usize, usize)> = members.iter().map(|(_, id, _)| start(id)).collect();
        let advance = |at, step| if at + step < size { at + step } else { at + step - size };
        let mut entries = vec![u32::MAX; size];
        let largest = members.iter().fold(f64::MIN_POSITIVE, |largest, (.., weight)| largest.max(*weight));
        let mut credits = vec![0.0; members.len()];
        let mut filled = 0;
        for member in (0..members.len()).cycle() {
            // The largest member takes an entry in each round. A smaller one takes one in its share of the
            // rounds.
            credits[member] += (members[member].2 / largest).max(MIN_WEIGHT_SHARE);
            if credits[member] < 1.0 {
                continue;
            }
            credits[member] -= 1.0;
            let (mut at, step) = positions[member];
            while entries[at] != u32::MAX {
                at = advance(at, step);
            }
            entries[at] = members[member].0 as u32;
            positions[member] = (advance(at, step), step);
            filled += 1;
            if filled == size {
                break;
            }
        }
        self.entries = entries;
    }

    /// The entry of a key under the hash function of that seed; `None` in an empty table.
    pub fn entry(&self, key: u64, seed: u64) -> Option<usize> {
        let size = self.entries.len() as u64;
        (size > 0)
            .then(|| self.entries[(xxh3_64_with_seed(&key.to_le_bytes(), seed) % size) as usize] as usize)
    }

    /// Two entries of a key, of different members where there are two; `None` in an empty table.
    pub fn pair(&self, key: u64) -> Option<(usize, usize)> {
        let first = self.entry(key, 0)?;
        let seeds = 1..=MIN_ENTRIES_PER_MEMBER as u64;
        let second = seeds.filter_map(|seed| self.entry(key, seed)).find(|&i| i != first);
        Some((first, second.unwrap_or(first)))
    }
}

#[cfg(test)]
mod tests {
    use super::Table;

    #[test]
    fn shares_are_even_and_the_loss_of_a_member_moves_few_entries() {
        let ids: Vec<String> = (0..10).map(|i| format!("10.0.0.{i}:7000")).collect();
        let members: Vec<(usize, &str, f64)> =
            ids.iter().enumerate().map(|(i, id)| (i, id.as_str(), 1.0)).collect();
        let (mut table, mut smaller) = (Table::default(), Table::default());
        table.build(&members);
        smaller.build(&members[1..]);
        for i in 0..10 {
            let share = table.entries.iter().filter(|&&e| e == i as u32).count();
            assert!((102..=103).contains(&share), "{share}");
        }
        let is_moved = |(before, after): (&u32, &u32)| *before != 0 && before != after;
        let moved = table.entries.iter().zip(&smaller.entries).filter(|&pair| is_moved(pair)).count();
        assert!(moved < table.entries.len() / 4, "{moved}");
    }

    #[test]
    fn shares_of_entries_match_weights() {
        let mut table = Table::default();
        table.build(&[(0, "a", 2.0), (1, "b", 1.0), (2, "c", 1.0), (3, "d", 0.0)]);
        let share = |i| table.entries.iter().filter(|&&e| e == i).count() as f64 / table.entries.len() as f64;
        assert!((share(0) - 0.5).abs() < 0.02 && (share(1) - 0.25).abs() < 0.02, "{}", share(0));
        assert!(share(3) > 0.0, "even a member of weight 0 has entries");
    }

    #[test]
    fn a_pair_has_two_members_and_an_empty_table_has_no_pair() {
        let mut table = Table::default();
        assert_eq!(table.pair(7), None);
        table.build(&[(4, "a", 1.0), (9, "b", 1.0)]);
        for key in 0..50 {
            let (first, second) = table.pair(key).unwrap();
            assert_ne!(first, second);
        }
    }
}
