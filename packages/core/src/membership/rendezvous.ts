/* eslint-disable no-bitwise -- hashes are computed and cut on bits */
/** Rendezvous hashing: each key prefers the members in an order of its own. */

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;
const UINT32_RANGE = 2 ** 32;

const computeMix = (value: number): number => {
  let hash = value;
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
  return (hash ^ (hash >>> 16)) >>> 0;
};

/** Computes a well mixed 32-bit hash of a text; not fit for secrets. */
export const hashText = (text: string): number => {
  let hash = FNV_OFFSET;
  for (let index = 0; index < text.length; index += 1) {
    hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME);
  }
  return computeMix(hash);
};

const computeScore = (keyHash: number, memberHash: number): number =>
  computeMix(keyHash ^ memberHash) * UINT32_RANGE +
  computeMix(keyHash + Math.imul(memberHash, 0x9e3779b1));

interface ScoredMember<Member> {
  readonly member: Member;
  readonly score: number;
}

const compareScores = <Member extends string>(
  left: ScoredMember<Member>,
  right: ScoredMember<Member>,
): number => right.score - left.score || (left.member < right.member ? -1 : 1);

/** Ranks members for a key; the order among the rest stays when one leaves. */
export const rankByRendezvous = <Member extends string>(
  key: string,
  members: readonly Member[],
): Member[] => {
  const keyHash = hashText(key);
  return members
    .map((member) => ({ member, score: computeScore(keyHash, hashText(member)) }))
    .sort(compareScores)
    .map((scored) => scored.member);
};

/** Picks the first member for a key; undefined where there is none. */
export const pickByRendezvous = <Member extends string>(
  key: string,
  members: readonly Member[],
): Member | undefined => {
  const keyHash = hashText(key);
  let best: ScoredMember<Member> | undefined;
  for (const member of members) {
    const scored = { member, score: computeScore(keyHash, hashText(member)) };
    if (!best || compareScores(scored, best) < 0) best = scored;
  }
  return best?.member;
};
