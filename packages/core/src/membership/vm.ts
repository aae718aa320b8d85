import type { AvailabilityZoneId, BootId, VmId } from '../ids.js';

/** What a VM does. */
export type VmRole = 'entry' | 'engine' | 'store' | 'service';

/** One VM as the platform's VM list shows it. */
export interface VmRecord {
  readonly vmId: VmId;
  readonly role: VmRole;
  /** Host and port, for example "127.0.0.1:8080". */
  readonly address: string;
  readonly availabilityZone: AvailabilityZoneId;
  readonly state: 'live' | 'leaving';
  /** Name of the plain service; only with the role `service`. */
  readonly service?: string;
  /** Mesh address of an entry VM; only with the role `entry`. */
  readonly meshAddress?: string;
  /** Run of the process, where the list knows it. */
  readonly bootId?: BootId;
}
