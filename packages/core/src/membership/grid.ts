/* eslint-disable no-bitwise -- cell coordinates are taken from bits of the hash */
import type { VmId } from '../ids.js';
import { GRID_TARGET_REDUNDANCY } from './constants.js';
import { hashString } from './rendezvous.js';

/**
 * Neighbour tables of size O(sqrt(n)), based on two-dimensional SALAD (Douceur et al.,
 * "Reclaiming Space from Duplicate Files in a Serverless Distributed File System", section 4).
 * Members hash to the cells of a square grid; a member's neighbours are the members of its row and
 * column, so any two members are at most two hops apart. The cell id width is the floor of the
 * logarithm, which keeps the members per cell within the bounds of the paper's equation 5.
 */

const DIMENSIONS = 2;

interface Cell {
  readonly row: number;
  readonly column: number;
}

const computeCell = (vmId: VmId, width: number): Cell => {
  const hash = hashString(vmId);
  const coordinates = [0, 0];
  for (let bit = 0; bit < width; bit += 1) {
    const axis = bit % DIMENSIONS;
    const value = (hash >>> bit) & 1;
    coordinates[axis] = (coordinates[axis] as number) | (value << Math.floor(bit / DIMENSIONS));
  }
  return { row: coordinates[0] as number, column: coordinates[1] as number };
};

/** Computes the width of cell ids in bits for a given member count. */
export const computeCellWidth = (memberCount: number): number =>
  Math.max(0, Math.floor(Math.log2(memberCount / GRID_TARGET_REDUNDANCY)));

/** Selects the members in the same row or column; in small fleets, all members. */
export const selectGridNeighbours = (self: VmId, members: readonly VmId[]): VmId[] => {
  const width = computeCellWidth(members.length);
  const own = computeCell(self, width);
  return members.filter((vmId) => {
    if (vmId === self) return false;
    const cell = computeCell(vmId, width);
    return cell.row === own.row || cell.column === own.column;
  });
};
