/** How many sockets a part of the process may have. */
export interface ShareLimits {
  /** Sockets that no other part can take. */
  readonly reserved: number;
  /** Sockets that it may have while others leave room. */
  readonly max: number;
}

/** The open sockets of one part of the process. */
export class SocketShare {
  private open = 0;

  constructor(
    readonly limits: ShareLimits,
    private readonly hasRoom: () => boolean,
  ) {}

  get openCount(): number {
    return this.open;
  }

  /** @returns whether the socket may be opened; it then counts until it is released */
  tryOpen(): boolean {
    const { reserved, max } = this.limits;
    if (this.open >= max || (this.open >= reserved && !this.hasRoom())) return false;
    this.open += 1;
    return true;
  }

  release(): void {
    this.open -= 1;
  }
}
