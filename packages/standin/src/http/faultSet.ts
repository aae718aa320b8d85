/** Faults of one stand-in, switched on and off while it runs. */
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
   * Replaces the named faults.
   *
   * @returns the names that this stand-in does not have; nothing changes when there is one
   */
  update(changes: Readonly<Record<string, unknown>>): string[] {
    const unknown = Object.keys(changes).filter((name) => !(name in this.values));
    if (unknown.length > 0) return unknown;
    this.values = { ...this.values, ...changes };
    this.onChange(this.values);
    return [];
  }

  /** Sets one fault without telling the listener. */
  set<Name extends keyof Faults>(name: Name, value: Faults[Name]): void {
    this.values = { ...this.values, [name]: value };
  }

  /** Takes one from a count; -1 stands for always. */
  takeOne(name: keyof Faults): boolean {
    const count = this.values[name];
    if (typeof count !== 'number' || count === 0) return false;
    if (count > 0) this.values = { ...this.values, [name]: count - 1 };
    return true;
  }
}
