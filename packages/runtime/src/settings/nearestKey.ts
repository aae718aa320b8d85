/** Largest edit distance at which a known key still counts as a likely meaning, as a share of its length. */
const LARGEST_DISTANCE_SHARE = 0.5;

/** Edit distance that counts as likely for short keys too: one pair of exchanged letters. */
const EXCHANGE_DISTANCE = 2;

/** Computes the Levenshtein distance of two strings. */
export const computeEditDistance = (left: string, right: string): number => {
  let previous = Array.from({ length: right.length + 1 }, (_, index) => index);
  for (let row = 1; row <= left.length; row += 1) {
    const current = [row];
    for (let column = 1; column <= right.length; column += 1) {
      const substitution = left[row - 1] === right[column - 1] ? 0 : 1;
      current.push(
        Math.min(
          (previous[column] ?? 0) + 1,
          (current[column - 1] ?? 0) + 1,
          (previous[column - 1] ?? 0) + substitution,
        ),
      );
    }
    previous = current;
  }
  return previous[right.length] ?? 0;
};

/** Finds the known key that was probably meant; undefined where none is near enough. */
export const findNearestKey = (key: string, knownKeys: readonly string[]): string | undefined => {
  const ranked = knownKeys
    .map((known) => ({
      known,
      distance: computeEditDistance(key.toLowerCase(), known.toLowerCase()),
    }))
    .sort((left, right) => left.distance - right.distance);
  const best = ranked[0];
  if (!best) return undefined;
  const longest = Math.max(key.length, best.known.length);
  const allowed = Math.max(EXCHANGE_DISTANCE, longest * LARGEST_DISTANCE_SHARE);
  return best.distance <= allowed && best.distance < longest ? best.known : undefined;
};
