//! A plan as a picture: a row for each building, a bar for each step, freezes shaded.

use milletwing_releases::calendar::frozen_intervals;
use milletwing_releases::model::Model;
use milletwing_releases::planner::Schedule;
use milletwing_releases::Time;
use plotters::prelude::*;

/// Draws a schedule as SVG text.
pub fn render_svg(model: &Model, schedule: &Schedule, from: Time) -> Result<String, String> {
    let mut text = String::new();
    {
        let failed = |problem: &dyn std::fmt::Display| problem.to_string();
        let rows = model.buildings.len();
        let area = SVGBackend::with_string(&mut text, (1200, 80 + 90 * rows as u32)).into_drawing_area();
        area.fill(&WHITE).map_err(|p| failed(&p))?;
        let minutes = |time: Time| (time - from) as f64 / 60.0;
        let end = minutes(schedule.finish).max(1.0);
        let mut chart = ChartBuilder::on(&area)
            .margin(10)
            .caption("Tranches by building, minutes from now; freezes shaded", ("sans-serif", 16))
            .x_label_area_size(30)
            .y_label_area_size(90)
            .build_cartesian_2d(0.0..end, 0.0..rows as f64)
            .map_err(|p| failed(&p))?;
        let name = |y: &f64| {
            model.buildings.get(*y as usize).filter(|_| y.fract() == 0.0).cloned().unwrap_or_default()
        };
        chart
            .configure_mesh()
            .disable_y_mesh()
            .y_labels(rows + 1)
            .y_label_formatter(&name)
            .draw()
            .map_err(|p| failed(&p))?;
        for building in 0..rows {
            for edition in model.editions.keys() {
                for customers in &model.tranches {
                    let of = (*edition, building, customers.as_slice());
                    for span in
                        frozen_intervals(&model.freezes, &model.exemptions, of, (from, schedule.finish))
                    {
                        let corners = [
                            (minutes(span.from).max(0.0), building as f64),
                            (minutes(span.to).min(end), building as f64 + 0.95),
                        ];
                        let shade = RGBColor(120, 160, 220).mix(0.04);
                        chart
                            .draw_series([Rectangle::new(corners, shade.filled())])
                            .map_err(|p| failed(&p))?;
                    }
                }
            }
        }
        // Bars of one building stand in lanes, so that none hides another.
        for building in 0..rows {
            let steps: Vec<_> = schedule.steps.iter().filter(|step| step.building == building).collect();
            let mut lanes: Vec<(Time, milletwing_releases::model::Edition)> = Vec::new();
            let place = |lanes: &mut Vec<(Time, milletwing_releases::model::Edition)>, at: usize| {
                let step = steps[at];
                let lane = lanes.iter().position(|(end, of)| *of == step.edition || *end <= step.start);
                let lane = lane.unwrap_or_else(|| {
                    lanes.push((0, step.edition));
                    lanes.len() - 1
                });
                lanes[lane] = (step.end, step.edition);
                lane
            };
            let at: Vec<usize> = (0..steps.len()).map(|step| place(&mut lanes, step)).collect();
            let height = 0.9 / lanes.len().max(1) as f64;
            for (step, lane) in steps.iter().zip(at) {
                let low = building as f64 + 0.03 + lane as f64 * height;
                let corners = [(minutes(step.start), low), (minutes(step.end), low + height * 0.85)];
                let color = Palette99::pick(step.edition.service).mix(0.5 + 0.1 * (step.tranche % 5) as f64);
                chart.draw_series([Rectangle::new(corners, color.filled())]).map_err(|p| failed(&p))?;
                if lanes.len() <= 6 && step.tranche == 0 {
                    let label = Text::new(
                        model.edition_name(step.edition),
                        (corners[0].0, low + height * 0.7),
                        ("sans-serif", 11),
                    );
                    chart.draw_series([label]).map_err(|p| failed(&p))?;
                }
            }
        }
        area.present().map_err(|p| failed(&p))?;
    }
    Ok(text)
}
