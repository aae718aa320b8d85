/* eslint-disable no-bitwise -- hash functions operate on bits */
/** Rendezvous hashing: each key ranks the members in its own pseudo-random order. */

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;
const UINT32_RANGE = 2 ** 32;

const computeMurmurFinalizer = (value: number): number => {
  let hash = value;
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
  return (hash ^ (hash >>> 16)) >>> 0;
};

/** Computes a 32-bit FNV-1a hash with a MurmurHash3 finalizer; not cryptographically secure. */
export const hashString = (text: string): number => {
  let hash = FNV_OFFSET;
  for (let index = 0; index < text.length; index += 1) {
    hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME);
  }
  return computeMurmurFinalizer(hash);
};

const computeScore = (keyHash: number, memberHash: number): number =>
  computeMurmurFinalizer(keyHash ^ memberHash) * UINT32_RANGE +
  computeMurmurFinalizer(keyHash + Math.imul(memberHash, 0x9e3779b1));

interface ScoredMember<Member> {
  readonly member: Member;
  readonly score: number;
}

const compareScores = <Member extends string>(
  left: ScoredMember<Member>,
  right: ScoredMember<Member>,
): number => right.score - left.score || (left.member < right.member ? -1 : 1);

/** Ranks members for a key; when a member leaves, the order of the others is unchanged. */
export const rankByRendezvous = <Member extends string>(
  key: string,
  members: readonly Member[],
): Member[] => {
  const keyHash = hashString(key);
  return members
    .map((member) => ({ member, score: computeScore(keyHash, hashString(member)) }))
    .sort(compareScores)
    .map((scored) => scored.member);
};

/** Computes the rank of a member for a key, from 0 on; one that is not among the members is last. */
export const computeRendezvousRank = <Member extends string>(
  key: string,
  members: readonly Member[],
  member: Member,
): number => {
  const rank = rankByRendezvous(key, members).indexOf(member);
  return rank < 0 ? members.length : rank;
};

/** Picks the highest-ranked member for a key; undefined if there are no members. */
export const pickByRendezvous = <Member extends string>(
  key: string,
  members: readonly Member[],
): Member | undefined => {
  const keyHash = hashString(key);
  let best: ScoredMember<Member> | undefined;
  for (const member of members) {
    const scored = { member, score: computeScore(keyHash, hashString(member)) };
    if (!best || compareScores(scored, best) < 0) best = scored;
  }
  return best?.member;
};
