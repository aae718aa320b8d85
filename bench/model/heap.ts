/** Binary heap, ordered by `isBefore`. */
export class Heap<Item> {
  private readonly items: Item[] = [];

  constructor(private readonly isBefore: (left: Item, right: Item) => boolean) {}

  get size(): number {
    return this.items.length;
  }

  /** First item, without removing it. */
  get first(): Item | undefined {
    return this.items[0];
  }

  add(item: Item): void {
    this.items.push(item);
    let index = this.items.length - 1;
    while (index > 0) {
      const parent = Math.floor((index - 1) / 2);
      if (!this.isBefore(this.items[index]!, this.items[parent]!)) return;
      this.swap(index, parent);
      index = parent;
    }
  }

  take(): Item | undefined {
    const first = this.items[0];
    const last = this.items.pop();
    if (this.items.length > 0) {
      this.items[0] = last!;
      this.siftDown();
    }
    return first;
  }

  private siftDown(): void {
    const { items } = this;
    let index = 0;
    for (;;) {
      const left = index * 2 + 1;
      const right = left + 1;
      let least = index;
      if (left < items.length && this.isBefore(items[left]!, items[least]!)) least = left;
      if (right < items.length && this.isBefore(items[right]!, items[least]!)) least = right;
      if (least === index) return;
      this.swap(index, least);
      index = least;
    }
  }

  private swap(left: number, right: number): void {
    [this.items[left], this.items[right]] = [this.items[right]!, this.items[left]!];
  }
}
