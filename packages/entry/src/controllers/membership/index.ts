/** Membership and failure detection of the entry VMs. */
export * from './constants.js';
export { MembershipController } from './membershipController.js';
export type { MembershipOptions } from './membershipController.js';
