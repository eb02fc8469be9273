/// Reads measured points ("point,SERIES,X,Y" lines) from standard input, fits a line to each
/// series, writes a plot of each as SVG and prints the tables of docs/CAPACITY.md.
#include <gflags/gflags.h>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <map>
#include <sstream>
#include <string>
#include <vector>

DEFINE_string(plots, "docs/plots", "folder for the plots");

namespace {

struct point {
    double x = 0;
    double y = 0;
};

/// A least-squares line through points.
struct line_fit {
    double slope = 0;
    double intercept = 0;
    double rms_error = 0; ///< Root mean square distance of the points from the line.
    double last_x = 0;
    std::size_t points = 0;
};

using series_map = std::map<std::string, std::vector<point>>;

/// Target size of the platform, as required by the users.
constexpr double workers = 19'000;
constexpr double starts_per_second = 9'600;
constexpr double running_tasks = 210'000;
constexpr double teams = 660;
constexpr double changes_per_day = 14'000;
constexpr double jobs_per_day = 270'000;
constexpr double zones = 24;
constexpr double regions = 7;
constexpr double seconds_per_day = 86'400;

/// Chosen layout at the target size.
constexpr double workers_per_shard = 100;
constexpr double schedulers = 192; ///< Eight per zone.

series_map read_points()
{
    series_map series;
    std::string text;
    while (std::getline(std::cin, text)) {
        std::istringstream in(text);
        std::string tag;
        std::string name;
        point value;
        char comma = 0;
        if (std::getline(in, tag, ',') && tag == "point" && std::getline(in, name, ',') &&
            in >> value.x >> comma >> value.y) {
            series[name].push_back(value);
        }
    }
    return series;
}

line_fit fit(const std::vector<point>& points)
{
    line_fit line;
    line.points = points.size();
    double sum_x = 0;
    double sum_y = 0;
    double sum_xx = 0;
    double sum_xy = 0;
    for (const auto& sample : points) {
        sum_x += sample.x;
        sum_y += sample.y;
        sum_xx += sample.x * sample.x;
        sum_xy += sample.x * sample.y;
        line.last_x = std::max(line.last_x, sample.x);
    }
    const auto count = static_cast<double>(points.size());
    const auto denominator = count * sum_xx - sum_x * sum_x;
    line.slope = denominator > 0 ? (count * sum_xy - sum_x * sum_y) / denominator : 0;
    line.intercept = (sum_y - line.slope * sum_x) / count;
    double squares = 0;
    for (const auto& sample : points) {
        squares += std::pow(sample.y - line.intercept - line.slope * sample.x, 2);
    }
    line.rms_error = std::sqrt(squares / count);
    return line;
}

/// Returns the value of the line fitted to a series at `x`, or NaN if the series is missing.
double fitted_value(const series_map& series, const std::string& name, double x)
{
    const auto found = series.find(name);
    if (found == series.end()) {
        return NAN;
    }
    const auto line = fit(found->second);
    return line.intercept + line.slope * x;
}

double max_value(const series_map& series, const std::string& name)
{
    const auto found = series.find(name);
    if (found == series.end()) {
        return NAN;
    }
    return std::ranges::max_element(found->second, {}, &point::y)->y;
}

double slope_of(const series_map& series, const std::string& name)
{
    const auto found = series.find(name);
    return found == series.end() ? NAN : fit(found->second).slope;
}

void write_plot(const std::string& name, const std::vector<point>& points, const line_fit& line)
{
    constexpr double width = 420;
    constexpr double height = 260;
    constexpr double margin = 50;
    double max_x = 1e-9;
    double max_y = 1e-9;
    for (const auto& sample : points) {
        max_x = std::max(max_x, sample.x);
        max_y = std::max(max_y, sample.y);
    }
    const auto to_x = [&](double x) { return margin + x / max_x * (width - 2 * margin); };
    const auto to_y = [&](double y) { return height - margin - y / max_y * (height - 2 * margin); };
    std::ofstream out(FLAGS_plots + "/" + name + ".svg");
    out << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" << width << "\" height=\"" << height
        << "\" font-family=\"sans-serif\" font-size=\"11\">\n<rect width=\"100%\" height=\"100%\" "
           "fill=\"white\"/>\n<text x=\"10\" y=\"16\">"
        << name << "</text>\n<path d=\"M" << margin << ' ' << margin << "V" << height - margin
        << "H" << width - margin << "\" fill=\"none\" stroke=\"black\"/>\n<text x=\""
        << width - margin << "\" y=\"" << height - margin + 16 << "\" text-anchor=\"end\">" << max_x
        << "</text>\n<text x=\"" << margin - 4 << "\" y=\"" << margin << "\" text-anchor=\"end\">"
        << max_y << "</text>\n<line x1=\"" << to_x(0) << "\" y1=\""
        << to_y(std::max(0.0, line.intercept)) << "\" x2=\"" << to_x(max_x) << "\" y2=\""
        << to_y(line.intercept + line.slope * max_x) << "\" stroke=\"#3366cc\"/>\n";
    for (const auto& sample : points) {
        out << "<circle cx=\"" << to_x(sample.x) << "\" cy=\"" << to_y(sample.y)
            << "\" r=\"3\" fill=\"#cc3333\"/>\n";
    }
    out << "</svg>\n";
}

void print_fits(const series_map& series)
{
    std::puts("| series | points | intercept | slope | spread | measured to |");
    std::puts("|---|---|---|---|---|---|");
    for (const auto& [name, points] : series) {
        const auto line = fit(points);
        std::printf("| [%s](plots/%s.svg) | %zu | %.4g | %.4g | %.2g | %.4g |\n", name.c_str(),
                    name.c_str(), line.points, line.intercept, line.slope, line.rms_error,
                    line.last_x);
        write_plot(name, points, line);
    }
}

void print_line(const char* label, double value, const char* unit, double bound)
{
    std::printf("| %s | %.3g %s | %.3g %s | %.2f |\n", label, value, unit, bound, unit,
                value / bound);
}

void print_budget(const series_map& series)
{
    const auto starts = starts_per_second / schedulers;
    const auto idle = fitted_value(series, "cpu_idle_by_workers", workers_per_shard);
    const auto cpu = idle + slope_of(series, "cpu_by_starts_per_s") * starts;
    const auto per_worker = cpu / workers_per_shard;
    const auto starts_per_worker = starts_per_second / workers;
    const auto bytes = fitted_value(series, "worker_bytes_by_starts_per_s", starts_per_worker);
    const auto tasks = running_tasks / schedulers;
    const auto memory = fitted_value(series, "rss_by_workers", workers_per_shard) +
                        slope_of(series, "rss_by_tasks") * tasks +
                        slope_of(series, "rss_by_teams") * teams;
    const auto per_change = fitted_value(series, "store_calls_per_change", 2);
    const auto reads = slope_of(series, "store_reads_by_schedulers") * schedulers / regions;
    const auto writes = slope_of(series, "store_writes_by_schedulers") * schedulers / regions;
    const auto changes = changes_per_day / seconds_per_day * per_change;
    const auto jobs = jobs_per_day / seconds_per_day * 4 / regions;
    std::puts("\n| line of the budget | at the aim's size | bound | ratio |");
    std::puts("|---|---|---|---|");
    print_line("control per worker, its share of a scheduler's processor", per_worker, "% core", 3);
    print_line("memory per worker, its share of a scheduler's", memory / workers_per_shard, "MB",
               64);
    print_line("bytes between a worker and its owner", bytes / 1000, "KB/s", 10);
    print_line("one scheduler of 100 workers: processor", cpu, "% core", 100);
    print_line("one scheduler of 100 workers: memory", memory, "MB", 2000);
    print_line("an entry at 1,200 calls/s (of 8)",
               fitted_value(series, "entry_cpu_by_starts_per_s", starts_per_second / 8), "% core",
               100);
    print_line("store of one region: reads and watches",
               reads + changes +
                   fitted_value(series, "waiting_watches_by_schedulers", schedulers / regions),
               "calls/s", 2000);
    print_line("store of one region: writes and renewals", writes + changes + jobs, "calls/s", 300);
    print_line("a contract in force",
               fitted_value(series, "apply_ms_by_schedulers", schedulers / regions) / 1000, "s", 4);
    print_line("urgent start, while the owner has just died (lease of 2 s; longest measured)",
               max_value(series, "takeover_ms_by_workers") / 1000, "s", 2.5);
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("fits measured points\nusage: capacity-report < POINTS");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const auto series = read_points();
    print_fits(series);
    print_budget(series);
    return 0;
}
