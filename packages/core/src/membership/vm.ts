import type { AvailabilityZoneId, BootId, VmId } from '../ids.js';

/** Function of a VM in the fleet. */
export type VmRole = 'entry' | 'engine' | 'store' | 'service';

/** One VM as listed by the platform. */
export interface VmRecord {
  readonly vmId: VmId;
  readonly role: VmRole;
  /** Host and port, for example "127.0.0.1:8080". */
  readonly address: string;
  readonly availabilityZone: AvailabilityZoneId;
  readonly state: 'live' | 'leaving';
  /** Name of the plain service; only for the role `service`. */
  readonly service?: string;
  /** Mesh address of an entry VM; only for the role `entry`. */
  readonly meshAddress?: string;
  /** Process instance, if the list includes it. */
  readonly bootId?: BootId;
}
