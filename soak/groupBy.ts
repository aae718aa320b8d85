/** Groups items by a key. */
export const groupBy = <Item>(
  items: readonly Item[],
  getKey: (item: Item) => string,
): ReadonlyMap<string, readonly Item[]> => {
  const groups = new Map<string, Item[]>();
  items.forEach((item) => {
    const key = getKey(item);
    const group = groups.get(key);
    if (group) group.push(item);
    else groups.set(key, [item]);
  });
  return groups;
};
