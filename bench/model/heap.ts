/** Binary heap that gives the item which comes before all others. */
export class Heap<Item> {
  private readonly items: Item[] = [];

  constructor(private readonly isBefore: (left: Item, right: Item) => boolean) {}

  get size(): number {
    return this.items.length;
  }

  /** Gives the first item without taking it. */
  get first(): Item | undefined {
    return this.items[0];
  }

  add(item: Item): void {
    this.items.push(item);
    let place = this.items.length - 1;
    while (place > 0) {
      const parent = Math.floor((place - 1) / 2);
      if (!this.isBefore(this.items[place]!, this.items[parent]!)) return;
      this.replace(place, parent);
      place = parent;
    }
  }

  take(): Item | undefined {
    const first = this.items[0];
    const last = this.items.pop();
    if (this.items.length > 0) {
      this.items[0] = last!;
      this.sortDown();
    }
    return first;
  }

  private sortDown(): void {
    const { items } = this;
    let place = 0;
    for (;;) {
      const left = place * 2 + 1;
      const right = left + 1;
      let least = place;
      if (left < items.length && this.isBefore(items[left]!, items[least]!)) least = left;
      if (right < items.length && this.isBefore(items[right]!, items[least]!)) least = right;
      if (least === place) return;
      this.replace(place, least);
      place = least;
    }
  }

  private replace(left: number, right: number): void {
    [this.items[left], this.items[right]] = [this.items[right]!, this.items[left]!];
  }
}
