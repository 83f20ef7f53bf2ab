/** The region of each availability zone. */

/** Finds the zones of regions; a zone whose region isn't known is in none. */
export class ZoneRegions {
  #regionsByZone: ReadonlyMap<string, string>;

  /** @param regions region of each zone, by the zone's name */
  constructor(regions: Readonly<Record<string, string>>) {
    this.#regionsByZone = new Map(Object.entries(regions));
  }

  /** Replaces the region of each zone. */
  replace(regions: Readonly<Record<string, string>>): void {
    this.#regionsByZone = new Map(Object.entries(regions));
  }

  /** Zones in one of the regions; null, for any zone, if the regions are null. */
  zonesIn(regions: readonly string[] | null): ReadonlySet<string> | null {
    if (regions === null) return null;
    const zones = [...this.#regionsByZone]
      .filter(([, region]) => regions.includes(region))
      .map(([zone]) => zone);
    return new Set(zones);
  }
}
