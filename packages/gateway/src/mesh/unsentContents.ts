/** Contents of messages that not all connections have sent yet; one that several connections send is held once. */
export class UnsentContents {
  private readonly senders = new Map<Buffer, number>();

  private held = 0;

  get heldBytes(): number {
    return this.held;
  }

  /** Records that one more connection sends a content. */
  add(content: Buffer): void {
    const count = this.senders.get(content) ?? 0;
    this.senders.set(content, count + 1);
    if (count === 0) this.held += content.length;
  }

  /** Records that a connection has sent a content, or never will. */
  release(content: Buffer): void {
    const count = this.senders.get(content) ?? 0;
    if (count > 1) this.senders.set(content, count - 1);
    else if (this.senders.delete(content)) this.held -= content.length;
  }
}
