/** Maximum edit distance of a suggested key, relative to the length of the longer key. */
const MAX_DISTANCE_RATIO = 0.5;

/** Edit distance accepted for short keys too: one transposition of two letters. */
const TRANSPOSITION_DISTANCE = 2;

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

/** Finds the most similar known key; undefined if none is similar enough. */
export const findNearestKey = (key: string, knownKeys: readonly string[]): string | undefined => {
  const ranked = knownKeys
    .map((known) => ({
      known,
      distance: computeEditDistance(key.toLowerCase(), known.toLowerCase()),
    }))
    .sort((left, right) => left.distance - right.distance);
  const nearest = ranked[0];
  if (!nearest) return undefined;
  const maxLength = Math.max(key.length, nearest.known.length);
  const maxDistance = Math.max(TRANSPOSITION_DISTANCE, maxLength * MAX_DISTANCE_RATIO);
  return nearest.distance <= maxDistance && nearest.distance < maxLength
    ? nearest.known
    : undefined;
};
