/**
 * Makes source code count its own work: one unit for each call of a function, each turn of a loop, and each element or
 * property that a spread copies.
 */
import ts from 'typescript';
import { COUNT_EXPRESSION, SPREAD_FUNCTION } from './work-counter.js';

interface Insertion {
  readonly at: number;
  readonly text: string;
}

function isLoop(node: ts.Node): node is ts.IterationStatement {
  return (
    ts.isForStatement(node) ||
    ts.isForOfStatement(node) ||
    ts.isForInStatement(node) ||
    ts.isWhileStatement(node) ||
    ts.isDoStatement(node)
  );
}

function* countBlock(block: ts.Block): Generator<Insertion, void, void> {
  yield { at: block.getStart() + 1, text: `${COUNT_EXPRESSION};` };
}

function* countExpression(body: ts.Expression): Generator<Insertion, void, void> {
  yield { at: body.getStart(), text: `(${COUNT_EXPRESSION},` };
  yield { at: body.getEnd(), text: ')' };
}

function* countStatement(body: ts.Statement): Generator<Insertion, void, void> {
  if (ts.isBlock(body)) yield* countBlock(body);
  else {
    yield { at: body.getStart(), text: `{${COUNT_EXPRESSION};` };
    yield { at: body.getEnd(), text: '}' };
  }
}

function* insertionsIn(node: ts.Node): Generator<Insertion, void, void> {
  if (ts.isFunctionLike(node) && 'body' in node && node.body !== undefined) {
    const { body } = node;
    if (ts.isBlock(body)) yield* countBlock(body);
    else yield* countExpression(body);
  } else if (isLoop(node)) yield* countStatement(node.statement);
  else if (ts.isSpreadAssignment(node) || ts.isSpreadElement(node)) {
    yield { at: node.expression.getStart(), text: `${SPREAD_FUNCTION}(` };
    yield { at: node.expression.getEnd(), text: ')' };
  }
  const children: ts.Node[] = [];
  ts.forEachChild(node, (child) => {
    children.push(child);
  });
  for (const child of children) yield* insertionsIn(child);
}

/** The same code, which counts. What runtime functions do without calling back is not counted. */
export function countWork(source: string): string {
  const file = ts.createSourceFile('counted.js', source, ts.ScriptTarget.Latest, true, ts.ScriptKind.JS);
  // Of two insertions at one place the outer one comes first where something opens, and last where it closes.
  const insertions = [...insertionsIn(file)].map((insertion, order) => ({
    ...insertion,
    order: insertion.text.startsWith(')') || insertion.text.startsWith('}') ? -order : order,
  }));
  insertions.sort((left, right) => left.at - right.at || left.order - right.order);
  let counted = '';
  let from = 0;
  for (const { at, text } of insertions) {
    counted += source.slice(from, at) + text;
    from = at;
  }
  return counted + source.slice(from);
}
