/** Selects the registrations of the other instances of the zone. */
import type {Registration} from '../ports/index.js';

/** Selects from each list only once, as most steps read the same list again. */
export class ZoneRegistrations {
  private list: readonly Registration[] = [];
  private selected: readonly Registration[] = [];

  constructor(
    private readonly zone: string,
    private readonly selfAddress: string,
  ) {}

  /** Returns the entries of the zone, without those at this address. */
  select(list: readonly Registration[]): readonly Registration[] {
    if (list === this.list) return this.selected;
    this.list = list;
    this.selected = list.filter(
      ({zone, address}) => zone === this.zone && address !== this.selfAddress,
    );
    return this.selected;
  }
}
