/** Injectable faults of one stand-in, which can be changed while it runs. */
export class FaultSet<Faults extends object> {
  private values: Faults;

  constructor(
    defaults: Faults,
    private readonly onChange: (faults: Faults) => void = () => undefined,
  ) {
    this.values = { ...defaults };
  }

  get current(): Readonly<Faults> {
    return this.values;
  }

  /**
   * Sets the given faults.
   *
   * @returns the unknown fault names; if there are any, no fault is changed
   */
  update(changes: Readonly<Record<string, unknown>>): string[] {
    const unknown = Object.keys(changes).filter((name) => !(name in this.values));
    if (unknown.length > 0) return unknown;
    this.values = { ...this.values, ...changes };
    this.onChange(this.values);
    return [];
  }

  /** Sets one fault without notifying the change listener. */
  set<Name extends keyof Faults>(name: Name, value: Faults[Name]): void {
    this.values = { ...this.values, [name]: value };
  }

  /**
   * Consumes one occurrence of a counted fault; -1 means every time.
   *
   * @returns whether the fault applies
   */
  consume(name: keyof Faults): boolean {
    const count = this.values[name];
    if (typeof count !== 'number' || count === 0) return false;
    if (count > 0) this.values = { ...this.values, [name]: count - 1 };
    return true;
  }
}
