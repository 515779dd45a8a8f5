/** Places the labels of a chart so that they cover neither each other nor a point. */

/** A point of the chart with its label, in pixels. */
export interface LabelledPoint {
  readonly x: number;
  readonly y: number;
  readonly label: string;
}

/** A label with the position of the middle of its base line. */
export interface PlacedLabel extends LabelledPoint {
  readonly labelX: number;
  readonly labelY: number;
}

interface Box {
  readonly left: number;
  readonly right: number;
  readonly top: number;
  readonly bottom: number;
}

const characterWidth = 6.4;
const labelHeight = 12;
const pointRadius = 5;
/** Candidate distances of a label from its point, pixels. */
const distances = [8, 18, 30, 44, 60];

/** Uses the nearest free position around each point, or the position above it if none is free. */
export function placeLabels(points: readonly LabelledPoint[]): readonly PlacedLabel[] {
  const occupied: Box[] = points.map(({ x, y }) => ({
    left: x - pointRadius,
    right: x + pointRadius,
    top: y - pointRadius,
    bottom: y + pointRadius,
  }));
  return points.map((point) => {
    const places = candidatesOf(point);
    const free = places.find((place) => !occupied.some((box) => overlaps(box, boxOf(place))));
    const chosen = free ?? { ...point, labelX: point.x, labelY: point.y - 9 };
    occupied.push(boxOf(chosen));
    return chosen;
  });
}

function candidatesOf(point: LabelledPoint): PlacedLabel[] {
  const half = (point.label.length * characterWidth) / 2;
  return distances.flatMap((distance) => {
    const [above, below] = [point.y - distance, point.y + distance + labelHeight - 2];
    const [left, right] = [point.x - distance - half, point.x + distance + half];
    return [
      { ...point, labelX: point.x, labelY: above },
      { ...point, labelX: point.x, labelY: below },
      { ...point, labelX: right, labelY: point.y + 4 },
      { ...point, labelX: left, labelY: point.y + 4 },
      { ...point, labelX: right, labelY: above },
      { ...point, labelX: left, labelY: below },
    ];
  });
}

function boxOf({ label, labelX, labelY }: PlacedLabel): Box {
  const half = (label.length * characterWidth) / 2;
  return { left: labelX - half, right: labelX + half, top: labelY - labelHeight + 2, bottom: labelY + 2 };
}

function overlaps(first: Box, second: Box): boolean {
  return (
    first.left < second.right && second.left < first.right && first.top < second.bottom && second.top < first.bottom
  );
}
